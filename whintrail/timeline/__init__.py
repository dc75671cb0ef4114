"""What each engine went through: the record, its judge, their store and the views of them.

Pure: kinds, columns, rollups, record, peers, judge, core. With files or sockets: store, live, plot.
"""
