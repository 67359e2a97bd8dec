"""A stream that breaks off is sent again to its engine after that one has drained."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
import rig as stand_in  # noqa: E402

DRAIN_S = 2.0
GREY_SHARE = 0.4
HEADERS = ["Lagoonscale-Model: m", "Lagoonscale-Token-Usage: 400,288"]


async def case(rig, trouble):
    zones = ["klg-a", "klg-b"]
    await rig.store.put("op", "config", stand_in.configuration())
    # 24 events in 2.64 s, within gap_aim_ms and timeout_ms of the route.
    await rig.add_engines(stand_in.MODELS, zones, 4, pause_s=0.11)
    await rig.add_engines(stand_in.APP, zones, 1)
    await rig.add_vms(zones, 1)
    for vm in rig.vms:
        await vm.start(bootstrap=True)
    for vm in rig.vms:
        await vm.until_ready(10)
    await asyncio.sleep(3.5)

    async def stream(number):
        client = stand_in.Client(rig, rig.vms[number % 2])
        await client.send(f"{number:016x}", "/turns/4b", "POST", body=b"p" * 400,
                          headers=HEADERS)
        client.close()

    streams = [asyncio.ensure_future(stream(number)) for number in range(96)]
    await asyncio.sleep(0.15)
    # One of eight model engines drains; it is one that fails part of its requests.
    models = [engine for engine in rig.engines if engine.service == stand_in.MODELS]
    engine = max(models, key=lambda engine: engine.running)
    if trouble:
        engine.lost_share = GREY_SHARE
    await engine.drain(rig.store)
    acknowledged = time.monotonic()
    await asyncio.gather(*streams)
    late = [(request, at - acknowledged) for request, at in engine.run_times
            if at > acknowledged + DRAIN_S]
    for request, after_s in late:
        rig.record("check", f"{request} runs at {engine.name} {after_s:.2f} s after the "
                            "store acknowledged that it drains")
    print(f"{len(late)} requests reach a drained engine later than {DRAIN_S} s")
    return not late


stand_in.main(HERE, case)
