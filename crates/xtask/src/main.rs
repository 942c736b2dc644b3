//! Regenerates the committed protobuf and tonic code: `cargo run -p xtask`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["banyansill.proto"], ["crates/wire/proto"])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir("crates/wire/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
