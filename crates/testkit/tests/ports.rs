//! Ports of test processes.

use {
    banyansill_testkit::process::{free_address, port_holders},
    std::net::TcpListener,
};

// Guards against a start that fails on a port in use without a trace of who has it.
#[test]
fn holders_of_a_port_are_listed() {
    let address = free_address().expect("a free port");
    // Connections that ended lately may still be listed.
    let before = port_holders(address.port());
    assert!(!before.contains(" 0A "), "a listener: {before}");
    let listener = TcpListener::bind(address).expect("free");
    let holders = port_holders(address.port());
    assert!(holders.contains(" 0A "), "a listener: {holders}");
    drop(listener);
}
