"""Admission, queueing and retry budgets of calls from their arrival to their start."""
