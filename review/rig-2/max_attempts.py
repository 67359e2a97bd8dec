"""Streams run on more engines than their route's max_attempts (BUDGET). Left out of the
cases for a graver one; writes its record into the folder that is its argument.
"""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import rig as stand_in  # noqa: E402

MAX_ATTEMPTS = 1
ALLOWED = 3  # BUDGET: "More than three requests"
LOST_SHARE, LOST_S, ROUNDS = 0.055, 5.0, 6
CLIENTS = 56
HEADERS = ["Lagoonscale-Model: m", "Lagoonscale-Token-Usage: 400,72"]


async def case(rig, trouble):
    zones = ["klg-a", "klg-b"]
    await rig.store.put("op", "config", stand_in.configuration())
    await rig.add_engines(stand_in.MODELS, zones, 4, slots=2, queue=2)
    await rig.add_engines(stand_in.APP, zones, 1)
    await rig.add_vms(zones, 1)
    for vm in rig.vms:
        await vm.start(bootstrap=True)
    for vm in rig.vms:
        await vm.until_ready(10)
    await asyncio.sleep(3.5)
    models = [engine for engine in rig.engines if engine.service == stand_in.MODELS]
    sent, is_over = 0, False

    async def client_loop(number):
        nonlocal sent
        client = stand_in.Client(rig, rig.vms[number % 2])
        while not is_over:
            sent += 1
            await client.send(f"{sent:016x}", "/turns/4b", "POST", body=b"p" * 400,
                              headers=HEADERS)
            await asyncio.sleep(0.02)
        client.close()

    clients = [asyncio.ensure_future(client_loop(number)) for number in range(CLIENTS)]
    await asyncio.sleep(2)
    for _ in range(ROUNDS):
        # Half of the engines lose the answers of some requests that they ran.
        for engine in models[:4]:
            engine.lost_share = LOST_SHARE if trouble else 0.0
        await asyncio.sleep(LOST_S)
        for engine in models:
            engine.lost_share = 0.0
        await asyncio.sleep(1)
    is_over = True
    await asyncio.gather(*clients)

    ran_at = collections.defaultdict(set)
    for engine in models:
        for request in engine.runs:
            ran_at[request].add(engine.name)
    over = [request for request, names in ran_at.items() if len(names) > MAX_ATTEMPTS]
    for request in over:
        rig.record("check", f"{request} ran at {' '.join(sorted(ran_at[request]))}")
    lost = sum(engine.lost for engine in models)
    print(f"{len(over)} of {sent} requests ran on more than {MAX_ATTEMPTS} engine; "
          f"{ALLOWED} are allowed; {lost} answers were lost")
    return len(over) <= ALLOWED


stand_in.main(sys.argv[1], case)
