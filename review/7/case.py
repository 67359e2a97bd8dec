"""A VM whose watch went silent serves by an old configuration, as a sentinel that is cut
off from the store itself goes on vouching for that watch."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
import rig as stand_in  # noqa: E402

STABLE_WINDOW_S, CONFIG_APPLY_S = 3.0, 2.0
MARGIN_S = 0.2


def configuration(version, added=()):
    config = stand_in.configuration(version)
    lookup = next(route for route in config["routes"] if route["name"] == "lookup")
    config["routes"] += [{**lookup, "name": f"lookup-{name}", "prefix": f"/{name}/"}
                         for name in added]
    return config


async def case(rig, trouble):
    zones = ["kyushu-a", "kyushu-b"]
    await rig.store.put("op", "config", configuration(1))
    await rig.add_engines(stand_in.APP, zones, 2)
    await rig.add_engines(stand_in.MODELS, zones, 1)
    await rig.add_vms(["kyushu-a"], 4)
    await rig.add_vms(["kyushu-b"], 2)
    for vm in rig.vms:
        await vm.start(bootstrap=True)
    for vm in rig.vms:
        await vm.until_ready(10)
    await asyncio.sleep(8.0)
    loop = asyncio.get_running_loop()
    local = [vm for vm in rig.vms if vm.zone == "kyushu-a"]
    # Of the VMs of a zone the one with the lowest address makes the short watches.
    sentinel = min(local, key=lambda vm: vm.internal)
    stale = [vm for vm in local if vm is not sentinel][:2]
    await rig.store.put("op", "config", configuration(4, ["early"]))
    await asyncio.sleep(1.5)

    start = loop.time()

    async def until(seconds):
        await asyncio.sleep(max(0.0, start + seconds - loop.time()))

    if trouble:
        for vm in stale:
            rig.store.silence(vm.name)
    await until(1.0)
    if trouble:
        rig.store.cut_off(sentinel.name)
    await until(1.2)
    await rig.store.put("op", "config", configuration(7, ["early", "added"]))
    acknowledged = loop.time()
    rig.record("store", "acknowledges version 7, which adds a route")
    await until(STABLE_WINDOW_S)
    old = []
    number = 0
    while loop.time() < start + 7.5:
        for vm in stale:
            number += 1
            sent = loop.time()
            client = stand_in.Client(rig, vm)
            answer = await client.send(f"{number:016x}", "/added/4b")
            client.close()
            is_in_touch = sent > start + STABLE_WINDOW_S + MARGIN_S
            is_late = sent > acknowledged + CONFIG_APPLY_S + MARGIN_S
            if answer.status == 404 and is_in_touch and is_late:
                old.append((vm.name, sent - acknowledged, sent - start))
        await asyncio.sleep(0.1)
    if trouble:
        rig.store.reconnect(sentinel.name)
    for name, after_s, since_s in old:
        rig.record("check", f"{name} answers 404 to a request sent {after_s:.2f} s after the "
                            f"acknowledgement, {since_s:.2f} s after its connections went silent")
    last = max((after_s for _, after_s, _ in old), default=0.0)
    print(f"{len(old)} requests refused as an older version says, the last one sent "
          f"{last:.2f} s after the acknowledgement; {CONFIG_APPLY_S} s are allowed")
    return not old


stand_in.main(HERE, case)
