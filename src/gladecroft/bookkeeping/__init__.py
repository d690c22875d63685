"""Records in the state service: their form, the picture built from them, the changes made to them."""
