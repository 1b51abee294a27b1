"""Plans expert maps of rank groups and decides how a group switches maps."""
