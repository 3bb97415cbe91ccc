"""Pings of another writer, without `addr`, reach the node beside each target of a service."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import Client, Target, call, run_case  # noqa: E402

SERVICE = "huvo11a"
ROUTE = ("127.198.18.1", 8443)
# Length of the day, and requests a second.
DAY_S, RATE = 25, 10


async def odd_pings(deployment, machine):
    """Pings under an id of their own, until one is acknowledged, as a target calls again after a ping
    that isn't; `addr` is missing, so they name no target to use."""
    born = int(time.time() * 1000) - 60_000
    for sequence in range(8, 16):
        body = {"service": SERVICE, "zone": deployment.zone_of[machine], "version": "v1",
                "concurrency": 8, "state": "draining", "warmupLeftMs": 0, "sequence": sequence,
                "born": born}
        status = await call(deployment.control(machine), "POST", "/Instances.Heartbeat/i-other", body)
        deployment.record.write(f"ping {sequence} of another writer to {machine} got {status}")
        if status == 200:
            break
        await asyncio.sleep(0.05)


async def play(deployment, trouble):
    record = deployment.record
    zones = ("a", "b", "c")
    for zone in zones:
        deployment.add_machine(f"edge-{zone}", zone)
    sides = [f"side-{zone}" for zone in zones]
    for side, zone in zip(sides, zones):
        deployment.add_machine(side, zone, SERVICE)
    await deployment.start_store()
    deployment.configure({ROUTE: SERVICE}, [SERVICE])
    targets = [Target(deployment, side, SERVICE) for side in sides]
    await deployment.start()
    for target in targets:
        await target.start()
    await deployment.ready()
    client = Client(deployment, f"{deployment.net}.100")
    await client.start()
    await asyncio.sleep(3)
    if trouble:
        await asyncio.gather(*(odd_pings(deployment, side) for side in sides))
    await asyncio.sleep(3)
    requests = []
    for index in range(DAY_S * RATE):
        requests.append(asyncio.create_task(client.one_request(ROUTE, f"request-{index}")))
        await asyncio.sleep(1 / RATE)
    outcomes = [await request for request in requests]
    served = outcomes.count("ok")
    record.write(f"{served} of {len(outcomes)} requests of the day served")
    for target in targets:
        record.write(f"boot {target.boot} on {target.machine} is ready, and {target.unacked_pings} "
                     f"of its {target.sequence} pings weren't acknowledged")
    return served > 0 and not deployment.violations


run_case(FOLDER, play)
