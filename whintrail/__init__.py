"""whintrail: a query gateway for engines with limited memory."""
