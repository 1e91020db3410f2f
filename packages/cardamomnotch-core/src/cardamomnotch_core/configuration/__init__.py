"""The operators' lists: what is wanted, checked and versioned."""
