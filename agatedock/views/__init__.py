"""What one router believes about its surroundings, with ages."""
