"""A new desired state raises idleTimeoutMs; open flows that are idle for less are reset all the same.

Agents forget a flow after 40 s without packets, whatever the desired state says.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

HOST, PORT = "198.18.0.1", 443
IDLE_S = 45.0


def deployment(folder):
    d = s.Deployment(folder, balancers=3)
    for index in range(3):
        d.add_target("edits", d.zones[index])
    d.add_client()
    return d


async def play(d, trouble):
    record = d.record
    routes = [s.route(HOST, PORT, "edits", "non_idempotent", 3000)]
    await d.store.put("config", "main", s.desired_state(7, routes, ["edits"], idle_ms=15000))
    idle_ms = 15000
    for target in d.targets:
        await target.start()
    await d.start()
    await d.wait_ready()
    await asyncio.sleep(2)
    if trouble != "0":
        idle_ms = 55000
        await d.store.put("config", "main", s.desired_state(12, routes, ["edits"], idle_ms=idle_ms))
        record.write("the store acknowledged version 12: idleTimeoutMs 55000 in place of 15000")
        await asyncio.sleep(4)  # more than configApplyMs
    flows = []
    for index in range(6):
        flow = d.clients[0].flow(HOST, PORT)
        record.write(f"flow {flow.port}: {await flow.connect()}")
        record.write(f"flow {flow.port}: request 1: {await flow.request(f'first-{flow.port}')}")
        flows.append(flow)
    await asyncio.sleep(IDLE_S)
    for flow in flows:
        held = [t for t in d.targets if t.holds(flow.key)]
        age = time.monotonic() - flow.opened_at
        answer = await flow.request(f"second-{flow.port}")
        still = [t for t in d.targets if t.holds(flow.key)]
        record.write(f"flow {flow.port}: idle {IDLE_S} s, age {age:.1f} s, held by {[t.id for t in held]}: request 2: {answer}")
        if answer == "reset" and held and still and held[0].alive:
            if idle_ms <= IDLE_S * 1000:
                record.write("  idle for longer than idleTimeoutMs: not counted")
            else:
                record.breaks("FLOW", f"flow {flow.port} was reset although {held[0].id} lives and holds it; "
                                      f"idle {IDLE_S} s of {idle_ms / 1000} s, age {age:.1f} s of 60 s; request 2 never ran")


if __name__ == "__main__":
    s.main(sys.modules[__name__])
