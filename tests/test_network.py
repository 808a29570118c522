"""Tests of streams between VMs: the errors of requests whose frames are lost, late, mismatched or refused."""

import asyncio

import pytest

from currantlead import errors
from currantlead.peers import frames, network


@pytest.fixture
async def pair():
    """Return two connected networks."""
    first, second = network.Network("vm1", "larisa"), network.Network("vm2", "larisa")
    await first.start()
    await second.start()
    first.update_addresses([second.member])
    second.update_addresses([first.member])

    @second.handler("echo")
    async def echo(vm, body):
        await asyncio.sleep(body.get("delay", 0))
        return body

    @second.handler("fail")
    def fail(vm, body):
        raise RuntimeError("no such instance")

    yield first, second
    await first.stop()
    await second.stop()


class FakePeer:
    """Fake VM ``vm2`` that replies to each request with given bytes."""

    def __init__(self, first, replies, incarnation=7):
        self.first = first
        self.replies = replies
        self.incarnation = incarnation
        self.requests = []

    async def start(self):
        """Start to listen, and register the address at the network."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.first._addresses["vm2"] = f"127.0.0.1:{port}"
        return self

    async def _serve(self, reader, writer):
        decoder = frames.Decoder()
        hello = {"vm": "vm2", "domain": "larisa", "incarnation": self.incarnation, "protocol": 1}
        writer.write(frames.encode("hello", 0, self.incarnation, hello))
        while data := await reader.read(65536):
            for kind, number, incarnation, _ in decoder.feed(data):
                if kind != "hello":
                    self.requests.append((number, incarnation))
                    for reply in self.replies(number, incarnation):
                        writer.write(reply)
        writer.close()


async def test_concurrent_requests_share_a_stream(pair):
    """Guards against replies that are assigned to the wrong request when they arrive out of order."""
    first, _ = pair
    delays = [0.05, 0.0, 0.03, 0.01]
    work = [first.request("vm2", "echo", {"delay": delay, "n": n}, timeout_s=1) for n, delay in enumerate(delays)]
    assert [reply["n"] for reply in await asyncio.gather(*work)] == [0, 1, 2, 3]
    assert first.connected() == ["vm2"]


async def test_request_to_itself_is_local(pair):
    """Guards against a VM that opens a stream to itself."""
    _, second = pair
    assert await second.request("vm2", "echo", {"n": 1}, timeout_s=1) == {"n": 1}
    with pytest.raises(errors.PeerAnswerLostError):
        await second.request("vm2", "echo", {"delay": 1}, timeout_s=0.02)
    with pytest.raises(errors.PeerAnswerLostError, match="no such instance"):
        await second.request("vm2", "fail", {}, timeout_s=1)


@pytest.mark.parametrize("kind, text", [("fail", "RuntimeError: no such instance"), ("unhandled", "no handler")])
async def test_failed_handler_is_reported(pair, kind, text):
    """Guards against a request that waits for its timeout although the handler failed."""
    with pytest.raises(errors.PeerAnswerLostError, match=text):
        await pair[0].request("vm2", kind, {}, timeout_s=1)


async def test_timeout_after_sending_leaves_the_outcome_open(pair):
    """Guards against a statement that is reported as not run after its frame was sent; late replies are dropped."""
    first, _ = pair
    with pytest.raises(errors.PeerAnswerLostError):
        await first.request("vm2", "echo", {"delay": 0.05}, timeout_s=0.02)
    await asyncio.sleep(0.1)
    assert first.dropped_frames == 1
    assert await first.request("vm2", "echo", {"n": 2}, timeout_s=1) == {"n": 2}


async def test_unreachable_error_means_that_nothing_was_sent(pair):
    """Guards against a retry of a request that may have run."""
    first, second = pair
    for vm, body in (("vm9", {}), ("vm2", {"x": object()}), ("vm2", {"x": b"a" * frames.MAX_FRAME_BYTES})):
        with pytest.raises(errors.PeerUnreachableError):
            await first.request(vm, "echo", body, timeout_s=1)
    waiting = asyncio.create_task(first.request("vm2", "echo", {"delay": 5}, timeout_s=10))
    await asyncio.sleep(0.05)
    first.simulate_partition(["vm2"])
    with pytest.raises(errors.PeerAnswerLostError):
        await waiting
    with pytest.raises(errors.PeerUnreachableError):
        await first.request("vm2", "echo", {}, timeout_s=1)
    with pytest.raises(errors.PeerUnreachableError):
        await second.request("vm1", "echo", {}, timeout_s=1)
    first.simulate_partition([])
    await asyncio.sleep(2 * network.BACKOFF_FIRST_S)
    assert await first.request("vm2", "echo", {}, timeout_s=1) == {}


MISMATCHED_REPLIES = {
    "unknown id": lambda number, incarnation: [frames.encode("reply", number + 100, incarnation, {"wrong": 1})],
    "other incarnation": lambda number, incarnation: [frames.encode("reply", number, incarnation ^ 1, {"wrong": 1})],
    "error for another": lambda number, incarnation: [frames.encode("error", number + 100, incarnation, {"error": ""})],
    "request of an old incarnation": lambda number, incarnation: [frames.encode("echo", 1, 6, {"wrong": 1})],
}


@pytest.mark.parametrize("wrong", MISMATCHED_REPLIES.values(), ids=MISMATCHED_REPLIES.keys())
async def test_mismatched_frames_are_dropped_and_counted(pair, wrong):
    """Guards against a reply to another request that is taken for the reply to this one."""
    first, _ = pair

    def replies(number, incarnation):
        right = frames.encode("reply", number, incarnation, {"right": number})
        return [*wrong(number, incarnation), right, right]

    await FakePeer(first, replies).start()
    assert await first.request("vm2", "echo", {}, timeout_s=1) == {"right": 1}
    await asyncio.sleep(0.02)
    assert first.dropped_frames == 2, "the wrong frame and the duplicate"


MALFORMED_REPLIES = {
    "truncated": lambda number, incarnation: [frames.encode("reply", number, incarnation, {"rows": [1, 2]})[:-1]],
    "no msgpack": lambda number, incarnation: [b"\xc1\xc1"],
    "no frame": lambda number, incarnation: [b"\x90"],
    "oversized": lambda number, incarnation: [b"\x94\xa5reply\x01\x01\xc6\x7f\xff\xff\xff" + b"a" * 100],
}


@pytest.mark.parametrize("malformed", MALFORMED_REPLIES.values(), ids=MALFORMED_REPLIES.keys())
async def test_malformed_reply_is_lost(pair, malformed):
    """Guards against a truncated or malformed reply that reaches the requester."""
    await FakePeer(pair[0], malformed).start()
    with pytest.raises(errors.PeerAnswerLostError):
        await pair[0].request("vm2", "echo", {}, timeout_s=0.2)


async def test_restart_of_a_peer_fails_its_pending_requests(pair):
    """Guards against waiting for a reply of a process that has ended."""
    first, _ = pair
    waiting = asyncio.create_task(first.request("vm2", "echo", {"delay": 5}, timeout_s=10))
    await asyncio.sleep(0.05)
    restarted = network.Network("vm2", "larisa")
    await restarted.start()
    restarted.update_addresses([first.member])
    restarted.notify("vm1", "hello again", {})
    with pytest.raises(errors.PeerAnswerLostError):
        await asyncio.wait_for(waiting, 1)
    await restarted.stop()


async def test_stream_of_another_vm_is_refused(pair):
    """Guards against requests that reach another VM, which has taken over the address."""
    first, second = pair
    first._addresses["vm3"] = second.member.address
    with pytest.raises(errors.PeerUnreachableError, match="vm3"):
        await first.request("vm3", "echo", {}, timeout_s=1)


async def test_send_buffer_is_bounded(pair):
    """Guards against memory that grows without bound for a peer that does not read."""
    first, _ = pair
    reading = asyncio.Event()

    async def accept_without_reading(reader, writer):
        hello = {"vm": "vm2", "domain": "larisa", "incarnation": 7, "protocol": 1}
        writer.write(frames.encode("hello", 0, 7, hello))
        await reading.wait()
        writer.close()

    server = await asyncio.start_server(accept_without_reading, "127.0.0.1", 0, limit=1024)
    first._addresses["vm2"] = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    body = {"x": b"a" * 3_000_000}
    work = [first.request("vm2", "echo", body, timeout_s=0.5) for _ in range(8)]
    results = await asyncio.gather(*work, return_exceptions=True)
    assert {type(result) for result in results} == {errors.PeerUnreachableError, errors.PeerAnswerLostError}
    reading.set()
    server.close()
