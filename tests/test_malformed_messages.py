"""Tests of decoders with malformed, truncated and oversized messages.

They guard against a decoder that raises anything but its own error, which
would end a thread or the whole loop, and against a message that a decoder
lets through and that stops the loop when it is handled.
"""

from collections.abc import Callable
from contextlib import suppress
from typing import Any
from typing import Final
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from msgspec import json
from msgspec import msgpack

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.keys import decode_ledger
from primroseledge.cluster.keys import decode_member
from primroseledge.cluster.keys import decode_owner
from primroseledge.cluster.messages import CallOrigin
from primroseledge.cluster.messages import decode as decode_fleet_message
from primroseledge.cluster.messages import encode as encode_fleet_message
from primroseledge.cluster.messages import ForwardedReply
from primroseledge.cluster.messages import ForwardedRequest
from primroseledge.cluster.messages import Message
from primroseledge.cluster.messages import NotOwner
from primroseledge.cluster.messages import PeerStateQuery
from primroseledge.cluster.messages import PeerStateReply
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.cluster.messages import ToldRefusal
from primroseledge.errors import PrimroseledgeError
from primroseledge.http_client import HttpAnswer
from primroseledge.ids import Boot
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.platform.decoding import decode_configuration
from primroseledge.platform.decoding import decode_job
from primroseledge.platform.decoding import decode_worker_entry
from primroseledge.platform.instance_client import classify_refusal
from primroseledge.platform.store import decode_response
from primroseledge.platform.store import to_items
from primroseledge.platform.store_keys import StoreKeys
from primroseledge.platform.wire import WireItemPage
from primroseledge.platform.worker_client import classify_response
from primroseledge.platform.worker_client import decode_run_ends
from primroseledge.platform.worker_client import decode_running_runs
from primroseledge.requests.messages import decode as decode_request_message
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import Target
from primroseledge.scheduling.actions import Verdict
from primroseledge.storage.store_client import decode_snapshot
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.test_fleet_node import NodeBench

EXAMPLES: Final = 400
TARGET: Final = Target(WorkerId('w'), Boot(1), 'w:1')
KEYS: Final = StoreKeys()
Decoder = Callable[[bytes], object]


def decode_worker_answer(data: bytes) -> None:
    """Decode a worker's answer to a poll, as its client does."""
    _, response = classify_response(HttpAnswer(200, data), TARGET)
    if response is not None:
        decode_running_runs(response, TARGET)
        decode_run_ends(response, TARGET)


def decode_page(data: bytes) -> None:
    """Decode a page of the platform's store."""
    page = decode_response(HttpAnswer(200, data), WireItemPage)
    to_items(page.items)


def of_item(decode: Callable[[Item], object]) -> Decoder:
    """Return a decoder of an item's value."""
    return lambda data: decode(Item('k/1', data, Revision(1)))


DECODERS: Final[dict[str, Decoder]] = {
    'message between platform instances': decode_fleet_message,
    'message between gateway instances': decode_request_message,
    'job of a caller': decode_job,
    'configuration': decode_configuration,
    'worker entry': of_item(
        lambda item: decode_worker_entry(item, {ServiceId('s')})
    ),
    'wave': of_item(KEYS.decode_wave),
    'owner record': of_item(decode_owner),
    'ledger': of_item(decode_ledger),
    'member record': of_item(decode_member),
    'answer of a worker': decode_worker_answer,
    'refusal by the instance service': classify_refusal,
    'page of the platform store': decode_page,
    'snapshot of the gateway store': decode_snapshot,
}

NAMES: Final = (
    'id',
    'steps',
    'count',
    'cpu_millis',
    'version',
    'queues',
    'running',
    'finished',
    'clock_ms',
    'items',
    'key',
    'value',
    'revision',
    'at',
)

numbers = strategies.one_of(
    strategies.integers(-(2**70), 2**70),
    strategies.sampled_from([2**63 - 1, 2**63, 2**64 - 1, -(2**63)]),
    strategies.floats(),
)
values = strategies.recursive(
    strategies.one_of(
        strategies.none(), strategies.booleans(), numbers, strategies.text()
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=5),
        strategies.dictionaries(
            strategies.sampled_from(NAMES), inner, max_size=6
        ),
    ),
    max_leaves=12,
)


def encode_value(value: Any) -> bytes:
    """Encode as msgpack if its numbers fit, and as JSON otherwise."""
    try:
        return msgpack.encode(value)
    except OverflowError:
        return json.encode(value)


def refuse_or_decode(name: str, data: bytes) -> None:
    """Decode; any error but that of a malformed input fails the test."""
    with suppress(PrimroseledgeError):
        DECODERS[name](data)


SAMPLES: Final[tuple[Message, ...]] = (
    ForwardedRequest(
        1,
        SubmitRequest(make_job('a', make_step(1))),
        CallOrigin(Epoch(1), 2.0),
        (ToldRefusal(1, JobId('b')),),
    ),
    ForwardedReply(1, Answer(Verdict.REFUSED), Epoch(1), 2.0),
    NotOwner(1, None),
    PeerStateQuery(1),
    PeerStateReply(None, 1, b'x'),
)


class DecoderTest(unittest.TestCase):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(strategies.sampled_from(list(DECODERS)), values)
    def test_values_of_a_wrong_shape(self, name: str, value: Any) -> None:
        refuse_or_decode(name, encode_value(value))
        refuse_or_decode(name, json.encode(value))

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(
        strategies.sampled_from(list(DECODERS)),
        strategies.binary(max_size=60),
    )
    def test_bytes_that_are_no_message(self, name: str, data: bytes) -> None:
        refuse_or_decode(name, data)

    def test_truncated_and_doubled_messages(self) -> None:
        for sample in SAMPLES:
            data = encode_fleet_message(sample)
            for length in range(len(data)):
                refuse_or_decode(
                    'message between platform instances', data[:length]
                )
            refuse_or_decode('message between platform instances', data * 2)


class HandlingTest(unittest.TestCase):
    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
    @given(
        strategies.sampled_from(SAMPLES),
        strategies.lists(
            strategies.tuples(strategies.integers(1, 4), values), max_size=2
        ),
        strategies.booleans(),
    )
    def test_a_node_handles_whatever_is_decoded(
        self, sample: Message, changes: list[Any], is_owner: bool
    ) -> None:
        """Each message comes twice, with some fields replaced."""
        bench = NodeBench()
        if is_owner:
            bench.become_owner()
        fields = msgpack.decode(encode_fleet_message(sample))
        for index, value in changes:
            if index < len(fields):
                fields[index] = value
        try:
            message = decode_fleet_message(msgpack.encode(fields))
        except (PrimroseledgeError, OverflowError):
            return
        for sender in ('peer', '', 'peer'):
            bench.node.handle_message(sender, message, bench.now)
            bench.reconcile(0.02)


if __name__ == '__main__':
    unittest.main()
