"""Who may enter and who waits: calls from their arrival to their start."""
