"""Starts router processes with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import tomllib

from stand_ins.store import watch_pid

# Fixed in deploy/system.toml.
METRICS_PORT = 9464
ROOT = pathlib.Path(__file__).resolve().parents[3]

SETTINGS = """
node = "{node}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPortRange = [{inner},{inner_end}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevocation = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
coldBurstFactor = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 8.2
quotaWindowS = 4
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
writeMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
"""


def _free_host(number):
    """Return a loopback address at which the metrics port is free."""
    while True:
        host = f'127.{random.randint(1, 250)}.{number}.1'
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, METRICS_PORT))
            return host


def _free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _free_port_range(ip, size):
    """Return the first of some consecutive ports that are free."""
    while True:
        first = _free_port(ip)
        if first + size > 65_000:
            continue
        try:
            for port in range(first, first + size):
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return first


class Router:
    """A router process on a loopback address of its own."""

    def __init__(self, folder, node, number, zone, zones, store_address):
        self.node = node
        self.zone = zone
        self.ip = _free_host(number)
        self.front = f'{self.ip}:{_free_port(self.ip)}'
        self.ready = f'{self.ip}:{_free_port(self.ip)}'
        inner = _free_port_range(self.ip, 16)
        self.settings_path = folder / f'{node}.toml'
        self.log_path = folder / f'{node}.log'
        rows = '\n'.join(f'{name} = "{area}"' for name, area in zones.items())
        self.settings_path.write_text(
            SETTINGS.format(
                node=node,
                ip=self.ip,
                zone=zone,
                region=zones[zone],
                zones=rows,
                inner=inner,
                inner_end=inner + 15,
                front=self.front.rpartition(':')[2],
                ready=self.ready.rpartition(':')[2],
                control=_free_port(self.ip),
                store=store_address,
            )
        )
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['router']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['HICKORYMUX_CONFIG'] = str(self.settings_path)
        with self.log_path.open('ab') as output:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        watch_pid(self.process.pid)

    @property
    def pid(self):
        """Return the id of the present process."""
        return self.process.pid

    def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        host, _, port = self.ready.rpartition(':')
        try:
            async with asyncio.timeout(0.8):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\n'
                        b'Connection: close\r\n\r\n'
                    )
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b'HTTP/1.1 200')


class Entry:
    """The platform's entry: leads each new channel to a router of a zone.

    It asks each router once a second whether it is ready; one that misses two
    in a row gets no new channels until it answers with 200. If fewer than half
    of a zone's routers are in rotation, all of the zone are used; if none is,
    those of the other zones.
    """

    def __init__(self, routers):
        self.routers = list(routers)
        self.misses = dict.fromkeys(routers, 0)
        self.turn = 0

    def add(self, router):
        """Add a router; it gets channels once it has answered with 200."""
        self.routers.append(router)
        self.misses[router] = 2

    async def run(self):
        """Ask for the readiness until cancelled."""
        while True:
            asked = tuple(self.routers)
            answers = await asyncio.gather(*(each.is_ready() for each in asked))
            for router, is_ready in zip(asked, answers, strict=True):
                self.misses[router] = 0 if is_ready else self.misses[router] + 1
            await asyncio.sleep(1)

    def choose(self, zone):
        """Return the router that gets the next channel of a client."""
        own = [router for router in self.routers if router.zone == zone]
        ready = [router for router in own if self.misses[router] < 2]
        usable = ready if 2 * len(ready) >= len(own) else own
        if not ready:
            usable = [r for r in self.routers if self.misses[r] < 2] or own
        self.turn += 1
        return usable[self.turn % len(usable)]
