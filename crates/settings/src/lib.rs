//! Settings tree of the operators: parsing, inheritance and checks.
