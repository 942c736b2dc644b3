"""Stand-ins for servers, platform, operator and clients, and the processes under test, for the cases of review 3.

Needs Python 3.11 or later and nothing else. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAMS = os.path.join(ROOT, "target", "release")
ZONES = ["selkirk-yard", "fort-qu", "grande-prairie"]
REGIONS = {"selkirk-yard": "red-river", "fort-qu": "qu-appelle", "grande-prairie": "peace-country"}
# Codes that promise that nothing of the client's attempt is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")
# Time for which a group may take to be served for the first time.
START_TIMEOUT_S = 25.0


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def add(self, *words):
        self.file.write(f"{time.monotonic() - self.start:8.3f} " + " ".join(str(word) for word in words) + "\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Commit:
    def __init__(self, term, number, writes, ids):
        self.term, self.number, self.writes, self.ids = term, number, writes, ids
        self.at = time.monotonic()


class Group:
    """Log of a service: one primary, replicas that receive each commit after a lag.

    With `sync`, a commit is acknowledged once one replica that runs has received it.
    """

    def __init__(self, name, sync, record):
        self.name, self.sync, self.record = name, sync, record
        self.log = []
        self.term = 1
        self.servers = []
        self.primary = None
        self.rolled_back = []
        # Statements of clients that a server ran: id, keyword, server, values of the session.
        self.runs = []

    def deliver(self):
        """Lets each replica receive what is due."""
        now = time.monotonic()
        primary = self.primary
        if primary is None:
            return
        if not primary.running:
            return
        primary.received = len(self.log)
        for server in self.servers:
            if server is primary or not server.running or server.paused:
                continue
            while server.received < len(self.log) and self.log[server.received].at + server.lag <= now:
                server.received += 1

    def commit(self, server, writes, ids):
        self.deliver()
        entry = Commit(self.term, len(self.log) + 1, writes, ids)
        self.log.append(entry)
        server.received = len(self.log)
        return entry

    async def acknowledged(self, server, entry):
        """Waits until the commit may be acknowledged; False if the server lost the lead or ended before."""
        incarnation = server.born
        while True:
            self.deliver()
            if entry in self.rolled_back or server.born != incarnation or not server.running:
                return False
            if self.primary is not server:
                return False
            holders = [other for other in self.servers
                       if other is not server and other.running and other.received >= entry.number]
            if not self.sync or holders:
                return True
            await asyncio.sleep(0.001)

    def promote(self, server):
        self.deliver()
        if self.primary is server:
            return
        kept = server.received
        lost = self.log[kept:]
        del self.log[kept:]
        self.rolled_back.extend(lost)
        self.term += 1
        self.primary = server
        for other in self.servers:
            other.received = min(other.received, kept)
            other.paused = False
        self.record.add("promoted", server.id, "term", self.term, "with", kept, "commits,", len(lost), "rolled back")
        for entry in lost:
            self.record.add("rolled-back", f"{entry.term}.{entry.number}", ",".join(entry.ids))


class Server:
    """One server of a group. `grey` is the share of its requests that it refuses with BUSY and does not run."""

    def __init__(self, group, identifier, zone, lag, max_conns=71):
        self.group, self.id, self.zone, self.lag = group, identifier, zone, lag
        self.max_conns = max_conns
        self.address = ("127.0.0.1", free_port())
        self.running = False
        self.received = 0
        self.paused = False
        self.promised = 0
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.grey = 0.0
        self.work_s = 0.002
        self.random = random.Random(identifier)
        self.listener = None
        self.writers = set()
        self.beats = None
        self.controls = []
        group.servers.append(self)

    async def start(self):
        self.running = True
        self.paused = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.listener = await asyncio.start_server(self.serve, *self.address, limit=2 << 20)
        self.beats = asyncio.ensure_future(self.beat())

    async def crash(self):
        """Ends the process: its connections break and it sends nothing more."""
        self.group.deliver()
        self.running = False
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.group.record.add("crash", self.id, "received", self.received)

    async def restart(self, empty):
        if empty:
            self.received = 0
            self.promised = 0
        await self.start()
        self.group.record.add("restart", self.id, "received", self.received, "born", self.born)

    async def beat(self):
        """Reports as PROTOCOL.md tells: every 1.2 s and at once after a change, to the next node after a failure."""
        index = 0
        last = None
        next_at = 0.0
        while True:
            told = (self.role(), self.state)
            if told != last or time.monotonic() >= next_at:
                self.sequence += 1
                body = {"service": self.group.name, "address": "%s:%d" % self.address, "zone": self.zone,
                        "version": "v1", "slots": 5, "state": self.state, "cold_remaining_ms": 0,
                        "db_role": told[0], "seq": self.sequence, "born": self.born}
                control = self.controls[index % len(self.controls)]
                status = await http(control, "PUT", f"/-/instances/{self.id}", json.dumps(body), 1.0)
                if status[0] // 100 == 2:
                    last = told
                    next_at = time.monotonic() + 1.2
                else:
                    index += 1
            await asyncio.sleep(0.02)

    def role(self):
        return "primary" if self.group.primary is self else "replica"

    def position(self):
        self.group.deliver()
        if self.received == 0:
            return "-" if self.group.primary is not self else f"{self.group.term}.0"
        entry = self.group.log[self.received - 1]
        term = self.group.term if self.group.primary is self else entry.term
        return f"{term}.{entry.number}"

    def has(self, position):
        self.group.deliver()
        term, _, number = position.partition(".")
        term, number = int(term), int(number)
        if number == 0:
            return True
        if self.received < number:
            return False
        return self.group.log[number - 1].term <= term

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = Session(self)
        try:
            line = await reader.readuntil(b"\r\n")
            words = line[:-2].decode().split(" ")
            if words[0] != "STARTUP" or words[1] != self.group.name or (len(words) > 3 and words[3] != self.id):
                writer.write(b"ERROR MISROUTED %s\r\n" % self.id.encode())
                return
            if len(self.writers) > self.max_conns:
                writer.write(b"ERROR TOOMANY %s\r\n" % self.id.encode())
                return
            writer.write(f"READY I {self.position()}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "TERMINATE":
                    return
                reply = await session.run(line)
                writer.write(reply.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Session:
    """Connection to a server."""

    def __init__(self, server):
        self.server = server
        self.values = {}
        self.prepared = {}
        self.transaction = None

    async def run(self, line):
        _, identifier, text = line.split(" ", 2)
        server = self.server
        rows, error, signature = [], None, "-"
        keyword = text.split(" ", 1)[0]
        if server.grey and keyword not in ("COMMIT", "ROLLBACK") and server.random.random() < server.grey:
            error = "BUSY"
            server.group.record.add("server", server.id, "refused", identifier, text, "values", self.values)
        else:
            rows, error = await self.execute(identifier, text)
        if error and self.transaction is not None and error != "BUSY":
            self.transaction["failed"] = True
        out = "".join(f"DATAROW {row}\r\n" for row in rows)
        if error:
            out += f"ERROR {error} {server.id}\r\n"
        else:
            if identifier != "-":
                signature = f"{server.id}.{identifier}"
            out += f"COMPLETE {signature}\r\n"
        state = "I"
        if self.transaction is not None:
            state = "E" if self.transaction["failed"] else "T"
        return out + f"READY {state} {server.position()}\r\n"

    async def execute(self, identifier, text):
        server, group = self.server, self.server.group
        words = text.split(" ")
        if words[0] == "WAITLSN":
            if not server.has(words[1]):
                return [], "LAGGING"
            words = words[2:]
        keyword = words[0]
        if keyword == "BEGIN":
            read_only = words[1:] == ["READ"]
            if not read_only and group.primary is not server:
                return [], "READONLY"
            self.transaction = {"read_only": read_only, "writes": [], "ids": [], "failed": False}
            return [], None
        if keyword == "ROLLBACK":
            self.transaction = None
            return [], None
        if keyword == "SET":
            self.values[words[1]] = " ".join(words[2:])
            return [], None
        if keyword == "RESET":
            self.values, self.prepared = {}, {}
            return [], None
        if keyword == "PREPARE":
            self.prepared[words[1]] = (words[2], " ".join(words[3:]))
            return [], None
        if keyword in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            return self.command(keyword, words)
        await asyncio.sleep(server.work_s)
        if keyword == "EXECUTE":
            known = self.prepared.get(words[1])
            if known is None:
                return [], "NOSTMT"
            keyword, words = known[0], [known[0]] + words[2:]
        transaction = self.transaction
        writes_nothing = transaction is not None and not transaction["writes"]
        if transaction is not None and not transaction["read_only"] and group.primary is not server:
            if not (keyword == "COMMIT" and writes_nothing):
                return [], "READONLY"
        group.runs.append((identifier, keyword, server.id, dict(self.values)))
        if identifier != "-":
            group.record.add("server", server.id, "ran", identifier, " ".join(words), "values", self.values)
        if keyword == "READ":
            value = None
            group.deliver()
            for entry in group.log[:server.received]:
                for item, data in entry.writes:
                    if item == words[1]:
                        value = data
            return [value if value is not None else "0"], None
        if keyword == "WRITE":
            write = (words[1], " ".join(words[2:]))
            if transaction is not None:
                transaction["writes"].append(write)
                transaction["ids"].append(identifier)
                return [], None
            if group.primary is not server:
                return [], "READONLY"
            return await self.commit([write], [identifier])
        if keyword == "COMMIT" and transaction is not None:
            self.transaction = None
            if not transaction["writes"]:
                return [], None
            return await self.commit(transaction["writes"], transaction["ids"])
        return [], "MALFORMED"

    async def commit(self, writes, ids):
        entry = self.server.group.commit(self.server, writes, ids)
        if await self.server.group.acknowledged(self.server, entry):
            return [], None
        return [], "INDOUBT"

    def command(self, keyword, words):
        server, group = self.server, self.server.group
        group.deliver()
        term = int(words[1]) if len(words) > 1 else 0
        if keyword == "PAUSE" and group.primary is not server and term > max(group.term, server.promised):
            server.paused, server.promised = True, term
        if keyword == "RESUME":
            server.paused = False
        if keyword == "DEMOTE" and group.primary is server and term > group.term:
            group.primary = None
            server.promised = term
            group.record.add("demoted", server.id, term)
        if keyword != "STATUS":
            group.record.add("server", server.id, " ".join(words), "received", server.received)
        # A server that knows nothing of before also knows no term of it.
        known = group.term if group.primary is server or server.received else 0
        return [f"{server.role()} {known} {server.position()} {server.promised} 0 0 {len(server.writers)}"], None


async def http(address, method, path, body="", timeout=2.0):
    """Sends one request; returns status and body, status 0 without a complete response in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = body.encode()
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\nContent-Type: application/json\r\n"
                    f"Connection: close\r\nContent-Length: {len(data)}\r\n\r\n")
            writer.write(head.encode() + data)
            reply = (await reader.read()).decode()
            head, _, text = reply.partition("\r\n\r\n")
            return int(head.split(" ")[1]), text
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, OSError, ValueError, IndexError):
        return 0, ""


class Platform:
    """The platform's `POST /promote`; checks fences. `down` leaves calls unanswered and does not carry them out."""

    def __init__(self, group, record, promote_s=0.6):
        self.group, self.record, self.promote_s = group, record, promote_s
        self.address = ("127.0.0.1", free_port())
        self.newest = 0
        self.down = False
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, *self.address)

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fields = {}
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.strip().lower()] = value.strip()
            body = json.loads(await reader.readexactly(int(fields.get("content-length", "0"))))
            fence = int(fields["fencing-token"])
            self.record.add("platform promote", body["id"], "holder", fields["lease-holder"], "token", fence,
                            "unanswered" if self.down else "")
            if self.down:
                await reader.read()
                return
            server = next((known for known in self.group.servers if known.id == body["id"]), None)
            if fence < self.newest or server is None or not server.running:
                status = 409
            else:
                status = 200
                self.newest = fence
                if self.group.primary is not server:
                    asyncio.get_running_loop().call_later(self.promote_s, self.carry_out, server)
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def carry_out(self, server):
        if server.running:
            self.group.promote(server)


class Client:
    """Session of a client."""

    def __init__(self, record, name):
        self.record, self.name, self.count = record, name, 0
        self.reader = self.writer = None

    async def open(self, address, database):
        self.reader, self.writer = await asyncio.open_connection(*address, limit=2 << 20)
        self.writer.write(f"STARTUP {database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 3)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())
        return self

    async def run(self, text, timeout=10.0):
        """Returns id, rows, error code or None, state, position."""
        self.count += 1
        identifier = f"{self.name}-{self.count}"
        self.record.add("client sends", identifier, text)
        self.writer.write(f"QUERY {identifier} {text}\r\n".encode())
        rows, error = [], None
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout))[:-2].decode()
            keyword, _, rest = line.partition(" ")
            if keyword == "DATAROW":
                rows.append(rest)
            elif keyword == "ERROR":
                error = rest.split(" ")[0]
            elif keyword == "READY":
                state, _, position = rest.partition(" ")
                self.record.add("client gets", identifier, error or "OK", rows, state, position)
                return identifier, rows, error, state, position

    async def close(self):
        try:
            self.writer.write(b"TERMINATE\r\n")
            await self.writer.drain()
        except (ConnectionError, OSError):
            pass
        self.writer.close()


class Deployment:
    """Processes under test with their settings, in a temporary folder."""

    def __init__(self, record, platform, controls=5, gateways=3, tolerated=2, grace_ms=6000):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-3-")
        net = random.randrange(1, 250)
        self.operator_port, self.peer_port, self.metrics_port = free_port(), free_port(), free_port()
        self.ready_port = free_port()
        self.processes = {}
        self.settings = {}
        self.controls, self.gateways, self.names = [], [], []
        seeds = [f"127.{net}.1.{n + 1}:{self.operator_port}" for n in range(min(3, controls))]
        for n in range(controls):
            ip, name = f"127.{net}.1.{n + 1}", f"core-{n + 1}"
            data = os.path.join(self.folder.name, name)
            os.makedirs(data)
            self.settings[name] = {
                "host": name, "zone": ZONES[n % 3], "listen": f"{ip}:{self.peer_port}", "seeds": seeds, "found": True,
                "tolerated_losses": tolerated, "data": data, "metrics": f"{ip}:{self.metrics_port}",
                "operator": f"{ip}:{self.operator_port}", "platform": "%s:%d" % platform.address,
                "log_levels": "warn,event=info"}
            self.controls.append((ip, self.operator_port))
        for n in range(gateways):
            ip, name = f"127.{net}.2.{n + 1}", f"front-{n + 1}"
            self.settings[name] = {
                "host": name, "zone": ZONES[n % 3],
                "zones": [{"zone": zone, "region": REGIONS[zone]} for zone in ZONES],
                "callers": f"{ip}:{self.operator_port}", "status": f"{ip}:{self.ready_port}",
                "metrics": f"{ip}:{self.metrics_port}", "peers": f"{ip}:{self.peer_port}", "control": seeds,
                "control_port": self.peer_port, "grace_ms": grace_ms, "log_levels": "warn,event=info,request=info"}
            self.gateways.append((ip, self.operator_port))

    def start(self, name):
        program = "platform-control" if name.startswith("core") else "platform-gateway"
        path = os.path.join(self.folder.name, f"{name}.jsonc")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings[name], file)
        log = open(os.path.join(self.folder.name, f"{name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder.name, "LANG": "C.UTF-8",
                       "BANYANSILL_CONFIG": path}
        command = [os.path.join(PROGRAMS, program), "--config", path]
        if not os.access(command[0], os.X_OK):
            raise NotRun(f"{command[0]} is not built")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, env=environment, cwd=ROOT)
        self.record.add("process", name, "starts")

    def signal(self, name, number):
        self.record.add("process", name, signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def start_all(self):
        for name in self.settings:
            self.start(name)

    def log(self, name):
        with open(os.path.join(self.folder.name, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    async def put_config(self, config):
        deadline = time.monotonic() + START_TIMEOUT_S
        body = json.dumps(config)
        while time.monotonic() < deadline:
            for control in self.controls:
                status, _ = await http(control, "PUT", "/-/config", body, 1.0)
                if status == 200:
                    self.record.add("operator: version", config["version"], "acknowledged")
                    return
            await asyncio.sleep(0.1)
        raise NotRun("no configuration was acknowledged")

    async def wait_served(self, database):
        """Waits until a write succeeds through every gateway."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for number, gateway in enumerate(self.gateways):
            attempt = 0
            while True:
                attempt += 1
                try:
                    client = await Client(self.record, f"warm{number}x{attempt}").open(gateway, database)
                    reply = await client.run("WRITE warm 1")
                    await client.close()
                    if reply[2] is None:
                        break
                except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > deadline:
                    raise NotRun("no write was served")
                await asyncio.sleep(0.1)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()


def config(version, service, sync, max_conns=71, tx_idle_ms=3000):
    """Configuration with a route of each type."""
    routes = []
    for host, reads, timeout, staleness in [("orders", "primary", 1000, 0), ("lookups", "bounded_staleness", 3000, 1500),
                                            ("ledger", "read_your_writes", 1000, 2500)]:
        route = {"name": f"r-{host}", "host": host, "path_prefix": "/", "type": reads, "timeout_ms": timeout,
                 "target_latency_ms": 800, "priority": 1, "service": service, "attempts": 2}
        if staleness:
            route["max_staleness_ms"] = staleness
        routes.append(route)
    return {"version": version, "routes": routes,
            "services": [{"name": service, "health_path": "/health", "max_conns": max_conns, "protocol": "h1",
                          "tls": False, "sync_replicas": sync}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, "tx_idle_ms": tx_idle_ms}}


def main(case, folder, limit_s=110.0):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    `case(record, trouble)` returns the violations and a function that ends what it started.
    """
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("trouble", int(trouble))
    code = 2
    try:
        violations = asyncio.run(asyncio.wait_for(case(record, trouble), limit_s))
        for violation in violations:
            record.add("BROKEN", violation)
            print("BROKEN", violation)
        code = 1 if violations else 0
    except NotRun as reason:
        record.add("NOT RUN", reason)
        print("NOT RUN", reason)
    except asyncio.TimeoutError:
        record.add("NOT RUN", "the time limit passed")
        print("NOT RUN the time limit passed")
    record.add("exit", code)
    print("exit", code)
    raise SystemExit(code)
