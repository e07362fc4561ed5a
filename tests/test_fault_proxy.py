"""A proxy impairs connections while they are open, and heals them."""

from contextlib import ExitStack
from socket import create_connection
from socket import create_server
from socket import SHUT_WR
from socket import socket
from threading import active_count
from time import monotonic
from unittest import TestCase

from standins.fault_proxy import FaultProxy
from standins.fault_proxy import ProxyLoop
from standins.proxy_link import Direction
from standins.proxy_link import MAX_HELD_BYTES

TIMEOUT_S = 5.0
SILENT_S = 0.1


class FaultProxyTest(TestCase):
    def setUp(self) -> None:
        self.resources = ExitStack()
        self.addCleanup(self.resources.close)
        self.loop = self.resources.enter_context(ProxyLoop())
        self.server = self.resources.enter_context(
            create_server(('127.0.0.1', 0))
        )
        self.server.settimeout(TIMEOUT_S)
        self.proxy = self.add_proxy()

    def add_proxy(self, seed: int = 1) -> FaultProxy:
        return self.loop.add_proxy(self.server.getsockname()[1], seed)

    def connect(
        self, proxy: FaultProxy | None = None
    ) -> tuple[socket, socket]:
        port = (proxy or self.proxy).port
        caller = create_connection(('127.0.0.1', port), TIMEOUT_S)
        self.resources.enter_context(caller)
        target, _ = self.server.accept()
        self.resources.enter_context(target)
        target.settimeout(TIMEOUT_S)
        return caller, target

    def assert_passes(self, sender: socket, receiver: socket) -> None:
        sender.sendall(b'hello')
        receiver.settimeout(TIMEOUT_S)
        self.assertEqual(receiver.recv(5), b'hello')

    def assert_silent(self, receiver: socket) -> None:
        receiver.settimeout(SILENT_S)
        with self.assertRaises(TimeoutError):
            receiver.recv(1)
        receiver.settimeout(TIMEOUT_S)

    def test_bytes_pass_both_ways(self) -> None:
        caller, target = self.connect()
        self.assert_passes(caller, target)
        self.assert_passes(target, caller)

    def test_many_bytes_pass(self) -> None:
        caller, target = self.connect()
        data = bytes(range(256)) * 1000
        caller.sendall(data)
        caller.shutdown(SHUT_WR)
        received = b''
        while chunk := target.recv(65536):
            received += chunk
        self.assertEqual(received, data)

    def test_half_close_is_passed_on(self) -> None:
        caller, target = self.connect()
        caller.shutdown(SHUT_WR)
        self.assertEqual(target.recv(1), b'')
        self.assert_passes(target, caller)

    def test_close_of_the_target_is_passed_on(self) -> None:
        caller, target = self.connect()
        target.close()
        self.assertEqual(caller.recv(1), b'')

    def test_delay_of_one_direction(self) -> None:
        caller, target = self.connect()
        self.proxy.delay(Direction.TO_CALLER, 0.2)
        self.assert_passes(caller, target)
        began_at = monotonic()
        self.assert_passes(target, caller)
        self.assertGreaterEqual(monotonic() - began_at, 0.2)

    def test_delays_keep_the_order(self) -> None:
        caller, target = self.connect()
        self.proxy.delay(Direction.TO_TARGET, 0.05, 0.05)
        for number in range(10):
            caller.sendall(bytes([number]))
            self.loop.run_there(lambda: None)
        received = b''
        while len(received) < 10:
            received += target.recv(10)
        self.assertEqual(received, bytes(range(10)))

    def test_jitter_depends_on_the_seed_alone(self) -> None:
        drawn = []
        for seed in (1, 1, 2):
            proxy = self.add_proxy(seed)
            impairment = proxy.impairments[Direction.TO_TARGET]
            impairment.jitter_s = 1.0
            drawn.append([proxy.draw_due(impairment, 0.0) for _ in range(5)])
        self.assertEqual(drawn[0], drawn[1])
        self.assertNotEqual(drawn[0], drawn[2])

    def test_silence_holds_bytes_until_healed(self) -> None:
        caller, target = self.connect()
        self.proxy.silence()
        caller.sendall(b'there')
        target.sendall(b'back!')
        self.assert_silent(target)
        self.assert_silent(caller)
        self.proxy.heal()
        self.assertEqual(target.recv(5), b'there')
        self.assertEqual(caller.recv(5), b'back!')

    def test_silence_of_one_direction(self) -> None:
        caller, target = self.connect()
        self.proxy.silence(Direction.TO_CALLER)
        self.assert_passes(caller, target)
        target.sendall(b'back!')
        self.assert_silent(caller)

    def test_silence_holds_for_new_connections(self) -> None:
        self.proxy.silence()
        caller, target = self.connect()
        caller.sendall(b'there')
        self.assert_silent(target)

    def test_silence_holds_a_close_back(self) -> None:
        caller, target = self.connect()
        self.proxy.silence()
        caller.sendall(b'there')
        caller.close()
        self.assert_silent(target)
        self.proxy.heal()
        self.assertEqual(target.recv(5), b'there')
        self.assertEqual(target.recv(5), b'')

    def test_silence_of_open_connections_spares_new_ones(self) -> None:
        old_caller, old_target = self.connect()
        self.proxy.silence_open()
        caller, target = self.connect()
        self.assert_passes(caller, target)
        old_caller.sendall(b'there')
        self.assert_silent(old_target)
        self.proxy.heal()
        self.assertEqual(old_target.recv(5), b'there')

    def test_sender_waits_when_too_much_is_held(self) -> None:
        caller, _ = self.connect()
        self.proxy.silence()
        caller.settimeout(SILENT_S)
        with self.assertRaises(TimeoutError):
            caller.sendall(bytes(64 * MAX_HELD_BYTES))

    def test_reset_of_open_connections(self) -> None:
        caller, target = self.connect()
        self.proxy.reset()
        for end in (caller, target):
            with self.assertRaises(ConnectionResetError):
                end.recv(1)
        self.assert_passes(*self.connect())

    def test_refused_connections_beside_open_ones(self) -> None:
        caller, target = self.connect()
        self.proxy.refuse()
        with self.assertRaises(ConnectionRefusedError):
            create_connection(('127.0.0.1', self.proxy.port), TIMEOUT_S)
        self.assert_passes(caller, target)
        port = self.proxy.port
        self.proxy.heal()
        self.assertEqual(self.proxy.port, port)
        self.assert_passes(*self.connect())

    def test_target_that_refuses(self) -> None:
        self.server.close()
        address = ('127.0.0.1', self.proxy.port)
        with (
            self.assertRaises(ConnectionResetError),
            create_connection(address, TIMEOUT_S) as caller,
        ):
            caller.recv(1)

    def test_target_that_resets(self) -> None:
        caller, target = self.connect()
        caller.sendall(b'unread')
        target.recv(1)
        target.close()
        with self.assertRaises(ConnectionResetError):
            caller.recv(1)

    def test_faults_of_one_proxy_spare_others(self) -> None:
        self.proxy.silence()
        self.assert_passes(*self.connect(self.add_proxy()))

    def test_close_leaves_nothing_open(self) -> None:
        caller, _ = self.connect()
        threads = active_count()
        self.loop.close()
        self.loop.close()
        self.assertEqual(active_count(), threads - 1)
        with self.assertRaises(ConnectionResetError):
            caller.recv(1)
        self.assertEqual(self.proxy.links, set())
