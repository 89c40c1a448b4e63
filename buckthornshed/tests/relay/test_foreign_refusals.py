"""Tests of refusals of a relay that did not get the call."""

import asyncio

from buckthornshed.protocol.relay_messages import RefusalMessage, RefusalReason

from .fleet import fleet_of, until


def run(scenario):
    asyncio.run(scenario)


# Guards against a refusal by a relay that did not get the call.
def test_an_answer_on_the_link_of_another_relay_ends_no_call():
    async def scenario():
        async with fleet_of(1, service="front") as fleet:
            await fleet.add("stalls")
            await fleet.add("front")
            await fleet.wait_until_connected()
            entry, _, foreign = fleet.relays
            fleet.targets[1].scripts = ["slow"]
            asked = asyncio.create_task(fleet.ask(entry, "/book/1", body=b"x"))
            await until(lambda: fleet.targets[1].ran)
            [exchange] = entry.dispatcher.exchanges
            refusal = RefusalMessage(exchange, RefusalReason.TARGET_FULL, 0.1, 0.0)
            await until(
                lambda: any(
                    s.instance == entry.instance for s in foreign.links.sessions
                )
            )
            [session] = [
                each
                for each in foreign.links.sessions
                if each.instance == entry.instance
            ]
            received = entry.counts.peer_messages["received", "RefusalMessage"]
            session.send(refusal)
            await until(
                lambda: (
                    entry.counts.peer_messages["received", "RefusalMessage"] > received
                )
            )
            fleet.targets[1].release.set()
            assert (await asked).status == 200
            assert len(fleet.targets[1].ran) == 1

    run(scenario())
