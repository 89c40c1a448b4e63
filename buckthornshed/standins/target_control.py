"""Control endpoint of an emulated target."""

from .asgi import Application, Request, Response, json_response, patch
from .target import EmulatedTarget

__all__ = ["target_application"]


def target_application(target: EmulatedTarget) -> Application:
    """Return the application that controls the target and reads its ledger."""
    application = Application()

    @application.route("GET", "/ledger")
    async def get_ledger(request: Request) -> Response:
        since = int(request.query.get("since", "0"))
        return json_response(
            {
                "name": target.name,
                "service": target.service,
                "runs": target.ledger.runs,
                "running": target.running,
                "waiting": target.waiting,
                "counters": target.ledger.counters._asdict(),
                "entries": [
                    entry._asdict() for entry in target.ledger.entries_since(since)
                ],
            }
        )

    @application.route("GET", "/counters")
    async def get_counters(request: Request) -> Response:
        return json_response(target.ledger.counters._asdict())

    @application.route("PUT", "/faults")
    async def put_faults(request: Request) -> Response:
        target.faults = patch(target.faults, request.body)
        return json_response(target.faults._asdict())

    @application.route("POST", "/drain")
    async def start_draining(request: Request) -> Response:
        target.start_draining()
        return Response(204)

    @application.route("POST", "/cold")
    async def restart_slow_start(request: Request) -> Response:
        target.restart_slow_start()
        return Response(204)

    return application
