"""Tests that an unexpected error does not end a process's tasks."""

import socket

import curio
import fleet_bench
import pytest
from hypothesis import given
from hypothesis import strategies as st

from camphorstair_fleet import copy_messages, internal_messages
from camphorstair_runtime import supervising

KINDS = (
    internal_messages.EngineLoad,
    internal_messages.SlotRequest,
    internal_messages.SlotGrant,
    internal_messages.RankCall,
    internal_messages.RankReply,
    copy_messages.CopyCall,
    copy_messages.CopyReply,
    internal_messages.CountsCall,
    internal_messages.PrepareCall,
    internal_messages.RelayedOrder,
)


def test_a_task_is_started_again_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    runs: list[int] = []

    async def run() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise KeyError('unexpected')

    monkeypatch.setattr(supervising, 'RESTART_PAUSE_S', 0)
    curio.run(supervising.keep_running, run)
    assert len(runs) == 3


def test_a_cancelled_task_is_not_started_again() -> None:
    async def body() -> None:
        task = await curio.spawn(supervising.keep_running, curio.Event().wait)
        await curio.sleep(0)
        await task.cancel()
        assert task.cancelled

    curio.run(body)


@pytest.mark.parametrize(
    'content', [b'', b'junk', b'\x95\x01\x02', b'\xff' * 99]
)
def test_an_entry_serves_on_after_a_malformed_datagram(content: bytes) -> None:
    async def body(running: fleet_bench.FleetBench) -> None:
        await running.add_endpoint('i-1', 'plain')
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with sock:
            address = (running.told.address, running.told.internal_port)
            await sock.sendto(content, address)
        assert (await running.call('/look/')).status == 200

    fleet_bench.FleetBench().run(body)


@given(st.sampled_from(KINDS), st.binary(max_size=80))
def test_any_bytes_decode_to_a_message_or_a_message_error(
    kind: type, content: bytes
) -> None:
    try:
        internal_messages.decode(content, kind)
    except internal_messages.MessageError:
        return
