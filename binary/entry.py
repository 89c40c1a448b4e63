"""Start of the packed program."""

from buckthornshed.cli.main import main

main()
