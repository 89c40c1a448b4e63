"""Which retried runs the retry limit allows at the target beside a relay."""

from ..admission.controller import AdmissionController
from ..admission.route_demand import calls_between_services, calls_of_run
from .retry_budget import RetryBudget
from .retry_slack import slack_parts

__all__ = ["RetriedRuns"]


class RetriedRuns:
    """Applies the calls that routes are known to make to the retry budget.

    Parameters
    ----------
    budget : RetryBudget
        Limits retries.
    admission : AdmissionController
        Knows the routes and their downstream calls.
    """

    def __init__(self, *, budget: RetryBudget, admission: AdmissionController) -> None:
        self.budget = budget
        self.admission = admission

    def divide_slack(self) -> None:
        """Divide the slack between the services by the calls known by now."""
        calls = calls_between_services(
            routes=self.admission.routes, graph=self.admission.graph
        )
        self.budget.set_slack_parts(slack_parts(calls))

    def covered(self, now: float, route: str) -> bool:
        """Return whether a retried run of a route may make its calls."""
        calls = calls_of_run(
            route, routes=self.admission.routes, graph=self.admission.graph
        )
        return self.budget.covers(now, calls)
