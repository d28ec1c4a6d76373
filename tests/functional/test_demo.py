"""The demo keeps its guarantees and leaves no process running.

The test starts it as a user does, as a process with short phases.
"""

import re
import socket

import pytest
from lib.processes import Program

pytestmark = pytest.mark.processes

SECONDS = 60


def test_demo_keeps_its_guarantees_and_stops_all_processes() -> None:
    demo = Program.start('demo', 'demo', ['--phase-seconds', '4'])
    try:
        status = demo.wait(SECONDS)
    finally:
        demo.terminate()
    output = '\n'.join(demo.stdout)
    assert (status, 'BROKEN' in output) == (0, False), demo.last_output()
    ports = re.findall(r'127\.0\.0\.1:(\d+)', output)
    assert len(ports) >= 2 + 6 + 2 * 4
    for port in ports:
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(('127.0.0.1', int(port)), 1)


def test_unknown_deployment_names_the_known_ones() -> None:
    demo = Program.start('demo', 'demo', ['--deployment', 'nowhere'])
    assert demo.wait(SECONDS) == 2
    assert 'brittany, dar-es-salaam, two-zones' in demo.stderr[-1]
