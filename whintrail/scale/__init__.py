"""What a size costs: cores alone, hollow and real gateways, a simulated fleet; fits, budgets, the page."""
