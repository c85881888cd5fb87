//! Programs of this workspace, run as processes.

use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

/// A program of this workspace: from the folder that `HEATHSPUR_PROGRAMS` names, else the one built beside the
/// one that runs; tests lie a folder below.
pub fn program_path(name: &str) -> PathBuf {
    if let Some(folder) = std::env::var_os("HEATHSPUR_PROGRAMS") {
        return PathBuf::from(folder)
            .join(name)
            .canonicalize()
            .expect("the program is there");
    }
    let this = std::env::current_exe().unwrap();
    let folders = this.ancestors().skip(1).take(3);
    folders
        .map(|folder| folder.join(name))
        .find(|file| file.is_file())
        .expect("the program is built")
}

pub fn server_command(file: &PathBuf) -> Command {
    let mut command = Command::new(program_path("heathspurd"));
    command.env("NODE_CONFIG", file).stderr(Stdio::piped());
    command
}

/// A process that ends with the test.
pub struct ProcessGuard(pub Child);

impl ProcessGuard {
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let text = format!("kill -{name} {}", self.0.id());
        let sent = Command::new("sh").args(["-c", &text]).status().unwrap();
        assert!(sent.success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.0.wait().unwrap()
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
