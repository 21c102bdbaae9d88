//! Measures schemes for sharing slots, protection against floods and the cost of decisions.
//!
//! Entries are plain structs that exchange messages at intervals in one loop over a simulated
//! clock.

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
