"""The adapter that puts the decision module on the bench's wire."""
