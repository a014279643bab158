//! The daemon's entry point.

fn main() -> anyhow::Result<()> {
    env_logger::init();
    Ok(())
}
