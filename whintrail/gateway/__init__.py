"""The gateway process: client sessions, links to engines, and the dispatcher that runs the routing policy."""
