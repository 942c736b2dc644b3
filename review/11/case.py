"""A primary refuses part of its requests, also the request with which a gateway empties a connection's session."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-3"))
import standin  # noqa: E402

# Share of its requests that the server refuses, as `fleetbench kinds` gives it for `srv_grey`.
GREY_SHARE = 0.4
LENGTH_S = 60.0
# Pauses between two visits at a gateway, in seconds.
PAUSES_S = (1.0, 2.2)
# As many gateways as the site has in a zone, and more.
GATEWAYS = 9


async def visits(record, gateway, number, stopped, values, random_source):
    """Short sessions one after the other, as few callers at a quiet gateway open them; every other one sets a value."""
    visit = 0
    while not stopped.is_set():
        visit += 1
        name = f"g{number}v{visit}"
        try:
            client = await standin.Client(record, name).open(gateway, "orders")
            values[name] = {}
            if visit % 2:
                _, _, error, _, _ = await client.run(f"SET clerk {name}")
                if error is None:
                    values[name] = {"clerk": name}
            await client.run(f"WRITE item{number} {visit}")
            await client.close()
        except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(random_source.uniform(*PAUSES_S))


async def case(record, trouble):
    group = standin.Group("hamper-db", False, record)
    platform = standin.Platform(group, record)
    await platform.start()
    primary = standin.Server(group, "i-primary", standin.ZONES[0], 0.008)
    for number in (1, 2):
        standin.Server(group, f"i-replica{number}", standin.ZONES[number], 0.008)
    group.primary = primary
    deployment = standin.Deployment(record, platform, gateways=GATEWAYS)
    try:
        for server in group.servers:
            server.controls = deployment.controls
            await server.start()
        deployment.start_all()
        await deployment.put_config(standin.config(7, group.name, 0))
        await deployment.wait_served("orders")
        if trouble:
            primary.grey = GREY_SHARE
        values, stopped = {}, asyncio.Event()
        random_source = random.Random(7)
        sessions = [asyncio.ensure_future(visits(record, gateway, number, stopped, values, random_source))
                    for number, gateway in enumerate(deployment.gateways)]
        await asyncio.sleep(LENGTH_S)
        stopped.set()
        await asyncio.gather(*sessions)
        broken, ran = [], 0
        for identifier, keyword, server, set_values in group.runs:
            name = identifier.split("-")[0]
            if name not in values:
                continue
            ran += 1
            if set_values != values[name]:
                broken.append(f"PINNED: {identifier} ({keyword}) ran at {server} with the values {set_values}, "
                              f"its client was acknowledged {values[name]}")
        record.add("statements that ran", ran, "with other values", len(broken))
        if ran < 30:
            raise standin.NotRun("fewer than 30 statements ran")
        return broken
    finally:
        deployment.stop()


standin.main(case, HERE)
