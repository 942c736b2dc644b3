//! Regenerates the committed protobuf and tonic code: `cargo run -p xtask`.

mod flags {
    #![allow(clippy::must_use_candidate, clippy::missing_errors_doc)]

    xflags::xflags! {
        /// Regenerates the committed protobuf and tonic code in the current folder's workspace.
        cmd xtask {
            /// Prints the version.
            optional --version
        }
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    if flags::Xtask::from_env_or_exit().version {
        println!("xtask {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let descriptors =
        protox::compile(["banyansill.proto", "directory.proto"], ["crates/wire/proto"])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir("crates/wire/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
