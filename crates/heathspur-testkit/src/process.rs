//! Child processes that run programs of this workspace.

use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

/// Returns the path of a program of this workspace.
///
/// The program is looked up in the folder that the environment variable `HEATHSPUR_PROGRAMS` names. Without the
/// variable it is looked up beside the running executable and in the two folders above, because test executables
/// are built one folder below the programs.
///
/// # Panics
///
/// Panics if the program does not exist there.
pub fn program_path(name: &str) -> PathBuf {
    if let Some(folder) = std::env::var_os("HEATHSPUR_PROGRAMS") {
        let file = PathBuf::from(folder).join(name);
        return file
            .canonicalize()
            .unwrap_or_else(|e| panic!("find {} of HEATHSPUR_PROGRAMS: {e}", file.display()));
    }
    let executable = std::env::current_exe().expect("find the path of the running executable");
    let folders = executable.ancestors().skip(1).take(3);
    folders
        .map(|folder| folder.join(name))
        .find(|file| file.is_file())
        .unwrap_or_else(|| {
            panic!(
                "program {name} is not built beside or above {}",
                executable.display()
            )
        })
}

/// Returns a command that starts the server with a configuration file and a piped standard error.
pub fn server_command(config_file: &PathBuf) -> Command {
    let mut command = Command::new(program_path("heathspurd"));
    command
        .env("NODE_CONFIG", config_file)
        .stderr(Stdio::piped());
    command
}

/// A child process that is killed and reaped when the guard is dropped.
pub struct ProcessGuard(pub Child);

impl ProcessGuard {
    /// Sends `SIGTERM`.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends the signal of this name, without `SIG`.
    ///
    /// # Panics
    ///
    /// Panics if the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let text = format!("kill -{name} {}", self.0.id());
        let status = Command::new("sh")
            .args(["-c", &text])
            .status()
            .expect("run `kill` in a shell");
        assert!(status.success(), "`{text}` failed: {status}");
    }

    /// Waits for the process to exit and returns its status.
    pub fn wait(&mut self) -> ExitStatus {
        self.0.wait().expect("wait for the child process to exit")
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
