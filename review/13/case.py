"""A target starts again, and before its fourth ping the node beside it is stopped and started."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
import standins_3 as s

FLOWS = 8


async def play(d, trouble):
    d.edge("edge-1", "zone-a")
    d.edge("edge-2", "zone-b")
    d.side("one", "app", "zone-a")
    d.side("two", "app", "zone-a")
    d.clients["clients"] = client = s.Client(d, d.ip(64, 1), "zone-a")
    for target in d.targets.values():
        # One ping each heartbeatMs, acknowledged or not: there is no other node to call.
        target.retry = s.HEARTBEAT_S
    await d.start([(443, "app", "idempotent"), (444, "app", "non_idempotent")])
    if not await d.ready():
        return "the edges don't become ready"
    flows = [client.open(("198.18.0.1", 443 + i // 2 % 2), f"f{i}") for i in range(FLOWS)]
    begin = d.record.now()

    async def until(moment):
        await asyncio.sleep(max(0.0, begin + moment - d.record.now()))

    async def use(flow, index):
        await until(0.6 + 0.02 * index)
        if await flow.connect() != "open":
            return
        for number, moment in enumerate((0.0, 9.5), 1):
            await until(moment + 0.02 * index)
            if await flow.request(f"{flow.label}-{number}") != "answered":
                return

    async def disturb():
        target = d.targets["one"]
        target.crash()
        await until(0.5)
        target.first_ping = 0.6
        await target.start()
        await until(1.4)
        await d.processes["side-one"].restart()

    work = [use(flow, index) for index, flow in enumerate(flows)]
    if trouble:
        work.append(disturb())
    await asyncio.gather(*work)
    return None


s.main(os.path.dirname(os.path.abspath(__file__)), play)
