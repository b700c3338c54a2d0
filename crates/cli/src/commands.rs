//! Runs the commands, locally or through an instance.

use std::path::Path;

use clap::CommandFactory;
use cowslip_codec::issue_api_key;
use cowslip_name::Name;
use cowslip_proto as proto;
use snafu::ResultExt;

use crate::check::{check_file, read_ticket};
use crate::cli::{Cli, Command, DrainArgs, InstanceArgs};
use crate::client::{get, post};
use crate::error::{Error, NoUpstreamSnafu, RuntimeSnafu};
use crate::exit_codes::ExitCode;
use crate::output;

/// Runs the chosen command.
pub(crate) fn run(cli: &Cli) -> Result<ExitCode, Error> {
    match &cli.command {
        Command::Check { files } => check(files),
        Command::Key { name, workspace } => {
            create_key(name, workspace);
            Ok(ExitCode::Success)
        }
        Command::Completions { shell } => {
            let mut command = Cli::command();
            clap_complete::generate(*shell, &mut command, "cowslip", &mut std::io::stdout());
            Ok(ExitCode::Success)
        }
        command => {
            let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
            runtime.block_on(run_with_instance(command))
        }
    }
}

/// Runs a command that sends requests to an instance.
async fn run_with_instance(command: &Command) -> Result<ExitCode, Error> {
    match command {
        Command::Plan { ticket, instance_args } => {
            send_ticket(ticket, instance_args, "/plans").await
        }
        Command::Apply { ticket, instance_args } => {
            send_ticket(ticket, instance_args, "/tickets").await
        }
        Command::Status { json, instance_args } => {
            let status: proto::StatusReport = get(instance_args.instance, "/status").await?;
            output::status(&status, *json);
            Ok(ExitCode::Success)
        }
        Command::Audit { json, instance_args } => {
            let page: proto::AuditPage = get(instance_args.instance, "/audit").await?;
            output::audit(&page, *json);
            Ok(ExitCode::Success)
        }
        Command::Drain(args) => drain(args).await,
        Command::Check { .. } | Command::Key { .. } | Command::Completions { .. } => {
            Ok(ExitCode::Usage)
        }
    }
}

fn check(files: &[std::path::PathBuf]) -> Result<ExitCode, Error> {
    let mut code = ExitCode::Success;
    for file in files {
        let errors = check_file(file)?;
        output::check_result(file, &errors);
        if !errors.is_empty() {
            code = ExitCode::Usage;
        }
    }
    Ok(code)
}

/// Creates and prints an API key. Its secret is two random UUIDs, which come from the operating
/// system's random source.
fn create_key(name: &Name, workspace: &Name) {
    let secret = format!("{}{}", uuid::Uuid::new_v4().simple(), uuid::Uuid::new_v4().simple());
    let salt = uuid::Uuid::new_v4();
    let (token, key) = issue_api_key(name.clone(), workspace.clone(), salt.as_bytes(), &secret);
    output::key(&token, &proto::ObjectState::Key(key));
}

async fn send_ticket(
    path: &Path,
    instance_args: &InstanceArgs,
    endpoint: &str,
) -> Result<ExitCode, Error> {
    let ticket = read_ticket(path)?;
    let reply: proto::TicketReply = post(instance_args.instance, endpoint, &ticket).await?;
    output::ticket_reply(&reply);
    Ok(exit_code_for(&reply, endpoint == "/plans"))
}

fn exit_code_for(reply: &proto::TicketReply, is_plan: bool) -> ExitCode {
    match reply {
        proto::TicketReply::Refused(_) => ExitCode::Refused,
        proto::TicketReply::Unknown(_) => ExitCode::Unknown,
        proto::TicketReply::Accepted(accepted) => {
            let is_superseded =
                accepted.objects.iter().all(|row| row.outcome == proto::OutcomeKind::Superseded);
            match accepted.reach {
                _ if is_superseded => ExitCode::Refused,
                proto::Reach::RecordedOnly if !is_plan => ExitCode::RecordedOnly,
                proto::Reach::RecordedOnly | proto::Reach::Majority => ExitCode::Success,
            }
        }
    }
}

/// Drains an upstream, or returns it to service, by a ticket that holds the current deployment with
/// only that upstream changed.
async fn drain(args: &DrainArgs) -> Result<ExitCode, Error> {
    let key =
        proto::ObjectKey { kind: proto::ObjectKind::Deployment, name: args.deployment.clone() };
    let mut object: proto::ObjectState =
        post(args.instance_args.instance, "/objects", &key).await?;
    let upstream = match &mut object {
        proto::ObjectState::Deployment(deployment) => {
            deployment.upstreams.iter_mut().find(|upstream| upstream.name == args.upstream)
        }
        _ => None,
    };
    let Some(upstream) = upstream else {
        let (deployment, upstream) = (args.deployment.clone(), args.upstream.clone());
        return NoUpstreamSnafu { deployment, upstream }.fail();
    };
    upstream.drained = !args.undo;
    let ticket = proto::Ticket {
        number: args.number,
        author: args.author.clone(),
        reason: format!("{} {}", if args.undo { "resume" } else { "drain" }, args.upstream),
        objects: vec![object],
    };
    let reply: proto::TicketReply = post(args.instance_args.instance, "/tickets", &ticket).await?;
    output::ticket_reply(&reply);
    Ok(exit_code_for(&reply, false))
}
