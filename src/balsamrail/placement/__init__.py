"""Target selection, admission control and retry budgets.

No module in this package uses the network or reads a clock. Times are arguments, in seconds of the
event loop's clock.
"""
