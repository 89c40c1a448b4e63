"""Program of one relay on the users' platform."""

import sys

from .program import main

sys.exit(main())
