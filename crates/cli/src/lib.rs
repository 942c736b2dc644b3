//! Part of banyansill.
