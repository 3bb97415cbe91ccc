"""The clock of a target's machine jumps back, and its agent restarts; open flows are reset.

An agent takes a heartbeat for the first one of a new target if the target's start seems recent by the
time of day. It then denies all flows that it doesn't know, although the target holds them.

The machine's clock is left alone. An agent sees a jump only as the difference between its own time
of day and the `born` of the heartbeats, so the target states a start that is later by the jump, as
if its machine's clock had jumped back right after its start.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

HOST, PORT = "198.18.0.1", 443
JUMP_MS = 2400


def deployment(folder):
    d = s.Deployment(folder, balancers=3, heartbeat_ms=1200)
    for index in range(3):
        d.add_target("feeds", d.zones[index])
    d.add_client()
    return d


async def play(d, trouble):
    record, client = d.record, d.clients[0]
    routes = [s.route(HOST, PORT, "feeds", "idempotent", 2500)]
    await d.store.put("config", "main", s.desired_state(7, routes, ["feeds"]))
    await d.start()
    for target in d.targets[:2]:
        await target.start()
    await d.wait_ready()
    await asyncio.sleep(4)
    new = d.targets[2]
    await new.start(clock_ahead_ms=JUMP_MS if trouble in ("1", "clock") else 0)
    began = time.monotonic()
    if trouble in ("1", "clock"):
        record.write(f"the clock of {new.agent.name} jumps back by {JUMP_MS} ms (as its agent sees it)")
    await asyncio.sleep(0.4)
    flows = []
    for _ in range(30):
        flow = client.flow(HOST, PORT)
        opened = await flow.connect()
        answer = await flow.request(f"first-{flow.port}")
        if opened != "open":
            record.write(f"flow {flow.port}: {opened}, {answer}")
        if new.holds(flow.key):
            flows.append(flow)
    record.write(f"{len(flows)} flows are open at {new.id}")
    if not flows:
        raise s.CannotRun("the new target took no flow")
    await asyncio.sleep(max(0, began + 1.5 - time.monotonic()))
    if trouble in ("1", "restart"):
        await new.agent.restart(signal.SIGTERM, 0.2)
    await asyncio.sleep(max(0, began + 9.0 - time.monotonic()))
    for flow in flows:
        answer = await flow.request(f"second-{flow.port}")
        held = new.holds(flow.key)
        record.write(f"flow {flow.port}: request 2: {answer}; held by {new.id}: {held}")
        if answer == "reset" and held:
            record.breaks("FLOW", f"flow {flow.port} was reset although {new.id} lives and holds it")


if __name__ == "__main__":
    s.main(sys.modules[__name__])
