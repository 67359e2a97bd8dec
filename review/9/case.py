"""The allowance of a program is granted a second time after all VMs were killed."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig-2"))
import rig as stand_in  # noqa: E402

BUDGET, TURN = 2304, 288
PROGRAMS = 12


async def case(rig, trouble):
    zones = ["klg-a", "klg-b", "cyb-a"]
    await rig.store.put("op", "config", stand_in.configuration())
    await rig.add_engines(stand_in.APP, zones, 1)
    await rig.add_engines(stand_in.MODELS, zones, 2)
    await rig.add_vms(zones, 2)
    names = [vm.name for vm in rig.vms]
    for vm in rig.vms:
        await vm.start(bootstrap=True)
    for vm in rig.vms:
        await vm.until_ready(10)
    await asyncio.sleep(3.5)

    programs = [f"3fa8{number:02x}" for number in range(PROGRAMS)]
    tokens = dict.fromkeys(programs, 0)
    sent = 0

    async def turn(program):
        nonlocal sent
        sent += 1
        client = stand_in.Client(rig, rig.vms[0])
        answer = await client.turn(f"{program}{sent:010x}", program, BUDGET, TURN)
        client.close()
        tokens[program] += len(answer.events) * stand_in.TOKENS_PER_EVENT
        return answer.status

    async def spend(program):
        for _ in range(16):
            if tokens[program] == BUDGET:
                return
            if await turn(program) == 503:
                await asyncio.sleep(0.4)

    await asyncio.gather(*(spend(program) for program in programs))

    for outage in (1, 2):
        if trouble:
            rig.store.turn_away(names)
        await asyncio.sleep(1.5)
        await asyncio.gather(*(turn(program) for program in programs))
        await asyncio.sleep(0.5)
        if outage == 1 and trouble:
            for vm in rig.vms:
                await vm.signal(signal.SIGKILL)
            await asyncio.sleep(0.7)
            for vm in rig.vms:
                await vm.start(bootstrap=False)
        await asyncio.sleep(0.7)
        if trouble:
            rig.store.serve_again(names)
        if outage == 1:
            for vm in rig.vms:
                await vm.until_ready(10)
            await asyncio.sleep(4.0)

    most = max(tokens.values())
    over = sum(used > BUDGET + TURN for used in tokens.values())
    for program, used in tokens.items():
        rig.record("check", f"program {program} was handed {used} tokens")
    print(f"most tokens of a program: {most}; budget and one turn: {BUDGET + TURN}; "
          f"{over} of {PROGRAMS} programs are over")
    return over == 0


stand_in.main(HERE, case)
