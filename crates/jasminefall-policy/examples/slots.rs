//! Measures ways to share slots, flood protection and the cost of decisions.
//!
//! Entries are plain structs that exchange messages with a lag in one loop over an injected clock.

#[path = "slots/costs.rs"]
mod costs;
#[path = "slots/floods.rs"]
mod floods;
#[path = "slots/schemes.rs"]
mod schemes;

fn main() {
    schemes::print();
    floods::print();
    costs::print();
}
