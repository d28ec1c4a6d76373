"""Keeps the fleet running after the demo and prints a command to try it."""

import asyncio
import json

from demo.fleet import Fleet


async def wait_until_interrupted(fleet: Fleet) -> None:
    """Print a command to try, wait until cancelled, stop all processes."""
    print('\nThe fleet keeps running until Ctrl+C. To stream an answer:\n')
    print(curl_line(fleet), flush=True)
    try:
        await asyncio.Event().wait()
    except asyncio.CancelledError:
        print('\nStopping')
    await asyncio.to_thread(fleet.programs.stop_all)


def curl_line(fleet: Fleet) -> str:
    """Return a curl command that streams an answer by the first router."""
    deployment = fleet.deployment
    url = next(iter(fleet.urls().values()))
    customer = next(iter(deployment.customers))
    body = {
        'model': deployment.model,
        'messages': [{'role': 'user', 'content': 'menu costs for tonight'}],
        'max_tokens': 20,
        'stream': True,
    }
    return (
        f'curl -N {url}/v1/chat/completions'
        f" -H 'Authorization: Bearer {deployment.key_of(customer)}'"
        f" -H 'Content-Type: application/json'"
        f" -d '{json.dumps(body)}'"
    )
