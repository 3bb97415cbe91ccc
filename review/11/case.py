"""Edges are added while a target is replaced: the new one has started, the old one isn't draining yet."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
import standins_3 as s

# Fresh deployments on which the case is played.
PLAYS = 8
# The new target starts so long after its machine, and so long after the added edges.
TARGET_DELAY_S = 1.0
LEAD_S = 0.2
# The routers first ask an added edge whether it is ready so long after its start, then twice per second.
PROBE_S = 0.12
FLOWS = 40


async def play(d, trouble):
    for number, zone in enumerate(("zone-a", "zone-a", "zone-b")):
        d.edge(f"edge-{number + 1}", zone)
    d.side("one", "app", "zone-a")
    d.side("two", "app", "zone-b")
    d.clients["clients"] = client = s.Client(d, d.ip(64, 1), "zone-a")
    await d.start([(443, "app", "idempotent"), (444, "app", "non_idempotent")])
    if not await d.ready():
        return "the edges don't become ready"
    # Nothing unplanned happens, so that each reset counts.
    d.planned = True

    async def use(number, until):
        flow = client.open(("198.18.0.1", 443 + number % 2), f"f{number}")
        if await flow.connect() != "open":
            return
        count = 0
        while d.record.now() < until:
            count += 1
            if await flow.request(f"{flow.label}-{count}") != "answered":
                return
            await asyncio.sleep(0.02)

    if trouble:
        new, node = d.add_side("new", "app", "zone-a")
        await node.start()
        await asyncio.sleep(TARGET_DELAY_S - LEAD_S)
        added = [d.add_edge(f"added-{number}", zone) for number, zone in enumerate(("zone-a", "zone-a", "zone-b"))]
        for edge in added:
            await edge.start()
            d.tasks.append(asyncio.ensure_future(d.router.probe(edge, PROBE_S)))
        await asyncio.sleep(LEAD_S)
        await new.start()
    until = d.record.now() + 1.5
    work = []
    for number in range(FLOWS):
        work.append(asyncio.ensure_future(use(number, until)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*work)
    return None


s.main(os.path.dirname(os.path.abspath(__file__)), play, PLAYS)
