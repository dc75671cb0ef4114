"""The timeline: what happened on each engine, the anomaly detector, the on-disk store and the views.

Without I/O: events, columns, rollups, history, baseline, detector, core. With files or sockets: store,
live_view, plot, recorder.
"""
