"""One message of each kind between relays, with all fields set.

``python -m buckthornshed.tests.relay.frame_samples`` prints the encoded messages of the
version that runs it, for `data/frames.json`.
"""

import json
import math

from buckthornshed.protocol.crash_messages import (
    Clearance,
    Crash,
    CrashNotice,
    ReleaseCrash,
    ToldQuarantine,
)
from buckthornshed.protocol.quota_messages import (
    QuotaGrant,
    QuotaLow,
    QuotaQuestion,
    QuotaUse,
)
from buckthornshed.protocol.relay_frames import MESSAGE_ENCODER
from buckthornshed.protocol.relay_messages import (
    AnswerMessage,
    CallMessage,
    CancelMessage,
    DrainNotice,
    FleetUpdate,
    Hello,
    Ping,
    Pong,
    ReaderReport,
    RefusalMessage,
    RefusalReason,
    StatedLimit,
    Status,
    ViewRequest,
    Welcome,
)
from buckthornshed.state.catalog import (
    Catalog,
    Limits,
    Release,
    Route,
    RouteDestination,
    Target,
)
from buckthornshed.state.generation import Generation
from buckthornshed.state.workspaces import Quota, Workspace

RELEASE = Release("stalls", "v1")
TARGET = Target(
    name="t-1",
    started=1_700_000_000_000,
    sequence=3,
    service="stalls",
    address="10.0.0.1:9000",
    failure_domain="a",
    slots=10,
    draining=True,
    warmup_left=1.5,
    version="v1",
)
CATALOG = Catalog(
    generation=Generation(12),
    routes={
        "stalls.example": (
            Route(
                name="avail",
                host="stalls.example",
                prefix="/avail/",
                destinations=(RouteDestination("stalls", 1.0),),
                idempotent=True,
                timeout=1.0,
                objective=0.5,
                attempts=2,
                rank=1,
                public=True,
            ),
        )
    },
    services=("stalls",),
    limits=Limits(16_384, 1_048_576, 3.0, 15.0),
    workspaces={"ranch": Workspace("ranch", 1, Quota(5.0, 2.0))},
    keys={b"digest": "ranch"},
)

SAMPLES = (
    Hello("instance-1", 1_700_000_000_000, "10.0.0.1"),
    CallMessage(
        7, "t-1", "avail", 1, True, True, 1.5, b"r-1", b"GET / HTTP/1.1\r\n", b"x", "w"
    ),
    AnswerMessage(7, 200, b"HTTP/1.1 200 OK\r\n", b"whole", 0.5, 0.1, math.inf, True),
    *(RefusalMessage(2, reason, 0.3, 1.5) for reason in RefusalReason),
    CancelMessage(3),
    Ping(),
    Pong(0.5),
    DrainNotice(),
    FleetUpdate(
        CATALOG,
        [TARGET],
        [("t-2", 1_000, 5)],
        [StatedLimit("t-1", 1_000, 2.5)],
        [("t-3", 2_000)],
        ReaderReport("10.0.0.1", True),
        ["10.0.0.4"],
    ),
    FleetUpdate(),
    Status("stalls", "t-1", 0.5, 10.0, {"a": 1.0}, {"a": 2.0}, {"a": {"b": 4.0}}, 0.1),
    Status("stalls", "t-1", 0.5, 10.0, {}, {}, None, 0.0, 3.5),
    ViewRequest(),
    CrashNotice(
        crashes=[Crash("10.0.0.1", 1_700, RELEASE, [b"a", b"b"])],
        quarantines=[
            ToldQuarantine(b"a", [ReleaseCrash(RELEASE, 1_700)], 1, 30.0, 5.0)
        ],
        clearances=[Clearance(b"b", RELEASE, 1_800)],
    ),
    QuotaUse({"ranch": 5}),
    QuotaQuestion(4, "ranch"),
    QuotaGrant(4, True, 0.5, False),
    QuotaLow(["ranch"]),
)


if __name__ == "__main__":
    print(
        json.dumps([MESSAGE_ENCODER.encode(each).hex() for each in SAMPLES], indent=1)
    )
NEW_SAMPLES = (Welcome(1_700_000_000_000, 7),)
"""Messages that are sent only to relays that expect them."""
