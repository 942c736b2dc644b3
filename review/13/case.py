"""A replica is lost for good; later the primary is replaced by plan, and all processes of the system are killed meanwhile."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))
import standin  # noqa: E402

DRAIN_S = 7.0
# "... and a little longer": time after `drain_ms` until the server sends DELETE and exits.
LONGER_S = 1.0
# Time from the loss of the replica, and the start of another server in its place, to the replacement of the primary.
LOST_BEFORE_S = 12.0
# The final fault: all processes are killed and are back after this time.
DOWN_S = 0.8
RECOVERY_S = 12.0
COUNTED_S = 12.0


async def client_load(record, deployment, number, results, stopped):
    """Sends statements on all routes and notes when each was sent and whether it was served."""
    databases, sent = ("orders", "lookups", "ledger"), 0
    while not stopped.is_set():
        sent += 1
        started = time.monotonic()
        database = databases[(number + sent) % 3]
        served = False
        try:
            address = deployment.gateways[(number + sent) % 3]
            client = await standin.Client(record, f"c{number}x{sent}").open(address, database)
            text = f"READ item{number}" if database == "lookups" else f"WRITE item{number} {sent}"
            served = (await client.run(text))[2] is None
            await client.close()
        except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        results.append((started, served))
        await asyncio.sleep(0.05)


async def replace(record, group, deployment, old, name):
    """The new server starts first, at an address of its own; the old one drains, says that it leaves, and exits."""
    new = standin.Server(group, name, old.zone, old.lag)
    new.controls = deployment.controls
    await new.start()
    record.add("new server", new.id)
    old.state = "draining"
    record.add("server", old.id, "reports draining")
    await asyncio.sleep(DRAIN_S + LONGER_S)
    for attempt in range(10):
        control = deployment.controls[attempt % len(deployment.controls)]
        if (await standin.http(control, "DELETE", f"/-/instances/{old.id}", "", 1.0))[0] == 200:
            record.add("server", old.id, "sends DELETE, acknowledged, and exits")
            break
    await old.crash()


async def case(record, trouble):
    group = standin.Group("hamper-db", True, record)
    platform = standin.Platform(group, record)
    await platform.start()
    for number in range(3):
        standin.Server(group, f"i-{number}", standin.ZONES[number], 0.008)
    primary, replica = group.servers[0], group.servers[1]
    group.primary = primary
    deployment = standin.Deployment(record, platform)
    stopped, results = asyncio.Event(), []
    try:
        for server in group.servers:
            server.controls = deployment.controls
            await server.start()
        deployment.start_all()
        await deployment.put_config(standin.config(7, group.name, 1))
        await deployment.wait_served("orders")
        load = [asyncio.ensure_future(client_load(record, deployment, n, results, stopped)) for n in range(6)]
        await asyncio.sleep(3.0)
        if trouble:
            await replica.crash()
        new = standin.Server(group, "i-new-1", replica.zone, replica.lag)
        new.controls = deployment.controls
        await new.start()
        record.add("new server", new.id)
        await asyncio.sleep(LOST_BEFORE_S)
        release = asyncio.ensure_future(replace(record, group, deployment, primary, "i-new-2"))
        await asyncio.sleep(1.5)
        await deployment.put_config(standin.config(9, group.name, 1))
        killed = time.monotonic()
        for name in deployment.settings:
            deployment.signal(name, signal.SIGKILL)
        for process in deployment.processes.values():
            process.wait()
        await asyncio.sleep(DOWN_S)
        for name in deployment.settings:
            deployment.settings[name].pop("found", None)
            if name.startswith("core"):
                deployment.settings[name]["found"] = False
            deployment.start(name)
        back = time.monotonic()
        await release
        await asyncio.sleep(max(0.0, back + RECOVERY_S + COUNTED_S - time.monotonic()))
        stopped.set()
        await asyncio.gather(*load)
        before = [served for at, served in results if at < killed]
        after = [served for at, served in results if at > back + RECOVERY_S]
        record.add("served before the final fault", sum(before), "of", len(before))
        record.add("served later than recovery_s after it", sum(after), "of", len(after))
        record.add("primary", group.primary.id if group.primary else "none",
                   "running" if group.primary and group.primary.running else "not running")
        print("served before", sum(before), "of", len(before), "after", sum(after), "of", len(after))
        if sum(before) * 4 < len(before) or len(after) < 50:
            raise standin.NotRun("less than a quarter was served before, or too little was sent after")
        if sum(after) * 4 < len(after):
            return [f"RECOVER: {sum(after)} of {len(after)} requests sent later than {RECOVERY_S:.0f} s after the "
                    f"machines were back are served; {sum(before)} of {len(before)} were before"]
        return []
    finally:
        stopped.set()
        deployment.stop()


standin.main(case, HERE)
