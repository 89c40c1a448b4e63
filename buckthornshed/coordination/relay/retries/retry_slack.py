"""Division of the retry limit's slack between services.

The limit allows each service a fixed number of retries beyond a ratio of its requests,
the slack. It is used up by the service's own retries and, as a retried run repeats its
downstream calls, by those of every service whose runs call it. The slack is divided
between them, and a retry counts as the calls that it repeats.
"""

from collections import Counter
from collections.abc import Mapping

__all__ = ["slack_parts"]

OUTSTANDING_SHARE = 0.5
"""Part of a slack that retried runs may use.

The calls of a retried run leave a debt at the relay where it runs, and until that is
paid the other relays retry calls of their own. The rest of the slack covers the debts.
"""


def slack_parts(calls: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    """Return the fraction of the slack that the retries of each service may use.

    Parameters
    ----------
    calls : mapping
        By service, the calls at all depths that one of its runs causes, by called
        service.

    Returns
    -------
    dict
        The fractions by service. A service that is missing may use the whole slack, as
        it makes no calls and no other service calls it.
    """
    callers: Counter[str] = Counter()
    for service, called in calls.items():
        callers.update(called.keys() - {service})
    own_parts = {
        service: 1.0 / (1 + callers[service]) for service in calls.keys() | callers
    }
    return {
        service: min(
            part,
            *(
                OUTSTANDING_SHARE * own_parts[called] / count
                for called, count in calls.get(service, {}).items()
                if called != service
            ),
            1.0,
        )
        for service, part in own_parts.items()
    }
