"""Links between entry instances, over loopback."""

from time import monotonic
from time import sleep
import unittest

from zmq import curve_keypair
from zmq import DEALER

from primroseledge.gateway.peer_link import open_link
from primroseledge.gateway.peer_link import PeerLink
from primroseledge.ids import EntryId
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.requests.messages import ConfigPull
from primroseledge.requests.messages import encode
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import PROTOCOL_VERSION
from primroseledge.settings.settings import Curve
from standins.processes import free_port

A = EntryId('a')
B = EntryId('b')
HOST = '127.0.0.1'
PATIENCE_S = 10.0


def envelope(sender: EntryId, revision: int) -> Envelope:
    return Envelope(
        PROTOCOL_VERSION,
        sender,
        Incarnation(1),
        ConfigPull(Revision(revision)),
    )


def receive_one(link: PeerLink) -> Envelope | None:
    deadline = monotonic() + PATIENCE_S
    while monotonic() < deadline:
        for received in link.receive():
            return received
        sleep(0.01)
    return None


def wait_for_drop(link: PeerLink) -> bool:
    deadline = monotonic() + PATIENCE_S
    while monotonic() < deadline:
        if list(link.receive()):
            return False
        if link.strangers.dropped:
            return True
        sleep(0.01)
    return False


class PeerLinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ports = {A: free_port(), B: free_port()}
        keys = {name: curve_keypair() for name in (A, B)}
        public = {str(n): pair[0].decode() for n, pair in keys.items()}
        self.curves = {
            name: Curve(
                public_key=pair[0].decode(),
                secret_key=pair[1].decode(),
                peer_keys=public,
            )
            for name, pair in keys.items()
        }

    def open(self, name: EntryId, curve: Curve | None) -> PeerLink:
        link = open_link(HOST, self.ports[name], curve)
        self.addCleanup(link.close)
        for peer, port in self.ports.items():
            if peer != name:
                link.connect(peer, HOST, port)
        return link

    def test_encrypted_message_arrives(self) -> None:
        a = self.open(A, self.curves[A])
        b = self.open(B, self.curves[B])
        a.send(B, envelope(A, 7))
        self.assertEqual(envelope(A, 7), receive_one(b))
        self.assertEqual(a.total_bytes()[0], b.total_bytes()[1])

    def test_peer_cannot_speak_for_another(self) -> None:
        a = self.open(A, self.curves[A])
        b = self.open(B, self.curves[B])
        a.send(B, envelope(B, 7))
        self.assertTrue(wait_for_drop(b))

    def test_key_that_is_not_in_the_settings_is_kept_out(self) -> None:
        b = self.open(B, self.curves[B])
        public, secret = curve_keypair()
        stranger = self.open(
            A,
            Curve(
                public_key=public.decode(),
                secret_key=secret.decode(),
                peer_keys=self.curves[A].peer_keys,
            ),
        )
        friend = self.open_second(self.curves[A])
        stranger.send(B, envelope(A, 1))
        friend.send(B, envelope(A, 2))
        self.assertEqual(envelope(A, 2), receive_one(b))
        self.assertEqual([], list(b.receive()))

    def open_second(self, curve: Curve) -> PeerLink:
        link = open_link(HOST, free_port(), curve)
        self.addCleanup(link.close)
        link.connect(B, HOST, self.ports[B])
        return link

    def test_message_of_an_unknown_sender_is_dropped(self) -> None:
        a = self.open(A, None)
        b = self.open(B, None)
        a.send(B, envelope(EntryId('nobody'), 1))
        self.assertTrue(wait_for_drop(b))

    def test_malformed_message_is_counted(self) -> None:
        b = self.open(B, None)
        socket = b.context.socket(DEALER)
        self.addCleanup(socket.close)
        socket.connect(f'tcp://{HOST}:{self.ports[B]}')
        socket.send(b'\xff' + encode(envelope(A, 1)))
        deadline = monotonic() + PATIENCE_S
        while not b.strangers.malformed and monotonic() < deadline:
            self.assertEqual([], list(b.receive()))
            sleep(0.01)
        self.assertEqual(1, b.strangers.malformed)
