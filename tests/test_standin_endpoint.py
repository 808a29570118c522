"""Tests of the stand-in endpoint, on which other tests rely."""

import asyncio
import itertools
import json
import signal
import subprocess
import sys

import aiohttp
import hypothesis
import pytest
from hypothesis import strategies

from currantlead.connections import endpoint as client
from tests.standins import endpoint

NAMES = ("a", "b", "c")


class Group:
    """Group of three instances, with helpers to write, promote and inspect logs."""

    def __init__(self):
        self.instances = {name: endpoint.Instance(name, "ledger") for name in NAMES}
        self.urls = {}
        self.numbers = itertools.count(1)

    async def __aenter__(self):
        self.urls = {name: await each.start() for name, each in self.instances.items()}
        await self.promote("a", 1, NAMES)
        return self

    async def __aexit__(self, *_):
        for each in self.instances.values():
            await each.stop()

    async def promote(self, name, term, reachable):
        """Promote an instance; only the reachable instances are told."""
        start = self.instances[name].replica.log.index
        urls = {each: self.urls[each] for each in reachable}
        await endpoint.form_group(urls, name, term=term, start_index=start)

    async def promote_late(self, name, term, start):
        """Send the term of an earlier promotion to all instances."""
        for each in NAMES:
            role = "primary" if each == name else "replica"
            body = {"term": term, "role": role, "primary": name, "primary_url": self.urls[name], "start_index": start}
            assert (await post_term(self.urls[each], **body))[0] == 200

    async def write(self, name, term):
        """Commit one record at an instance; return its number, or None if it was refused."""
        value = next(self.numbers)
        connection = (await client.Endpoint(name, self.urls[name]).open(timeout_s=1)).ok_value
        sql = "create table if not exists t (x)" if value == 1 else f"insert into t values ({value})"
        outcome = await connection.execute(
            "r", term=term, sql=sql, params=(), write=True, organisation="farm", timeout_s=1
        )
        connection.close()
        return value if outcome.is_ok() else None

    def values(self, name):
        """Return the statements in an instance's log, after checking that sqlite holds what the log has applied."""
        log = self.instances[name].replica.log
        session = log.session()
        rows = session.run("select x from t", [], "read")["rows"] if log.applied else []
        session.close()
        assert len(rows) == max(0, log.applied - 1)
        return [record.statements[0][0] for record in log.records]

    async def settle(self, term, index):
        """Wait until all instances have received the record at an index in a term."""
        for each in self.instances.values():
            assert await each.replica.wait_received(term, index - 1, 3.0) >= index


def partition(group, name):
    """Partition an instance from the other two, or remove all partitions if it is None."""
    for each in NAMES:
        others = [other for other in NAMES if other != each]
        cut = others if each == name else [name]
        group.instances[each].controls.cut_from = cut if name else []


@hypothesis.settings(max_examples=15)
@hypothesis.given(
    rounds=strategies.lists(
        strategies.tuples(strategies.integers(0, 3), strategies.integers(0, 2), strategies.integers(0, 1)),
        min_size=1,
        max_size=4,
    )
)
def test_majority_records_survive_promotions(rounds):
    """Guards against records that a majority received but a promotion loses, and against logs that stay different.

    The instance with the highest position is promoted in each round.
    """

    async def main():
        async with Group() as group:
            term, primary = 1, "a"
            assert await group.write("a", 1)
            await group.settle(1, 1)
            for replicated_writes, unreplicated_writes, behind_index in rounds:
                others = [name for name in NAMES if name != primary]
                lagging, new_primary = others[behind_index], others[1 - behind_index]
                partition(group, lagging)
                for _ in range(replicated_writes):
                    assert await group.write(primary, term)
                acknowledged_index = group.instances[primary].replica.log.index
                assert (
                    await group.instances[new_primary].replica.wait_received(term, acknowledged_index - 1, 3.0)
                    == acknowledged_index
                )
                acknowledged = group.values(primary)
                partition(group, primary)
                for _ in range(unreplicated_writes):
                    assert await group.write(primary, term)
                term, primary = term + 1, new_primary
                await group.promote(new_primary, term, others)
                assert group.values(new_primary) == acknowledged
                assert await group.write(new_primary, term)
                partition(group, None)
                # The old primary learns of the promotion only now and discards the records that only it has.
                await group.promote_late(new_primary, term, acknowledged_index)
                await group.settle(term, acknowledged_index + 1)
                assert group.values("a") == group.values("b") == group.values("c")
                assert group.values(new_primary)[:acknowledged_index] == acknowledged

    asyncio.run(main())


async def post_term(url, **body):
    """Send ``POST /term``; return the status and the body of the response."""
    async with aiohttp.ClientSession() as session, session.post(f"{url}/term", json=body) as answer:
        return answer.status, await answer.json()


async def test_unconfirmed_record_is_not_received_in_newer_term():
    """Guards against a former primary's record that counts as received before the new primary is known."""
    async with Group() as group:
        await group.write("a", 1)
        await group.settle(1, 1)
        status, body = await post_term(group.urls["b"], term=2, role="replica", primary="", primary_url="")
        assert (status, body["received_index"], body["term"]) == (200, 1, 2)
        assert await group.instances["b"].replica.wait_received(2, 0, 0.1) == 0
        assert (await post_term(group.urls["b"], term=1, role="primary", primary="b"))[0] == 409
        assert await group.write("b", 1) is None


async def test_receive_lag_and_apply_lag_are_independent():
    """Guards against mixing the lags: receive lag delays the log, apply lag delays only what reads see."""
    async with Group() as group:
        group.instances["b"].controls.lag_s = 0.3
        group.instances["c"].controls.receive_lag_s = 0.3
        await group.write("a", 1)
        await asyncio.sleep(0.15)
        b, c = group.instances["b"].replica.log, group.instances["c"].replica.log
        assert (b.index, b.applied, c.index) == (1, 0, 0)
        await asyncio.sleep(0.4)
        assert (b.applied, c.applied) == (1, 1)


@pytest.mark.processes
async def test_process_keeps_log_over_restart(tmp_path):
    """Guards the separate process: it writes its port file, exits on SIGTERM, and keeps its log over a restart."""
    command = [sys.executable, "-m", "tests.standins.endpoint", "--name", "a", "--group", "ledger"]
    command += ["--port-file", str(tmp_path / "port"), "--data", str(tmp_path), "--connections", "1"]
    for restarted in (False, True):
        process = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
        try:
            port = json.loads(await process.stdout.readline())["port"]
            assert (tmp_path / "port").read_text() == str(port)
            url = f"http://127.0.0.1:{port}"
            instance = client.Endpoint("a", url)
            status = (await instance.status(timeout_s=2)).ok_value
            assert (status.term, status.received_index) == ((1, 1) if restarted else (0, 0))
            await endpoint.form_group({"a": url}, "a", term=status.term + 1, start_index=status.received_index)
            connection = (await instance.open(timeout_s=2)).ok_value
            assert (await instance.open(timeout_s=2)).is_err()
            sql = "select * from t" if restarted else "create table t (x)"
            fields = {"term": status.term + 1, "params": (), "organisation": "farm", "timeout_s": 2}
            assert (await connection.execute("r", sql=sql, write=not restarted, **fields)).is_ok()
            connection.close()
            await instance.close()
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), 5) == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
