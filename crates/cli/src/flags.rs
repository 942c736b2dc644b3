//! Arguments.

#![allow(missing_docs, clippy::must_use_candidate)]

use std::path::PathBuf;

xflags::xflags! {
    /// Operates a banyansill cluster.
    ///
    /// Exit codes: 0 done; 1 refused; 2 faulty arguments, file or sheet; 3 control cannot be reached
    /// or has no leader; 4 outcome unknown (repeat with the same --request-id).
    cmd banyansill {
        /// Address of a control replica, IP and port; may be given several times. Default 127.0.0.1:7400.
        repeated --control address: String
        /// File that holds the operator's token; needed where control has a token file.
        optional --token-file file: PathBuf
        /// Prints JSON instead of tables.
        optional --json
        /// Prints the version.
        optional --version

        /// Asks for a command.
        default cmd no-command {}

        /// Shows entries, databases, the sheet and the control replicas.
        cmd status {}

        /// Shows every target with its broker and position.
        cmd targets {}

        /// Works with the sheet.
        cmd sheet {
            /// Checks a file and reports every fault with row and column.
            cmd check {
                required file: PathBuf
            }
            /// Compares a file with the sheet in force.
            cmd diff {
                required file: PathBuf
            }
            /// Puts a file in force.
            cmd apply {
                required file: PathBuf
                /// Number of the sheet; only higher numbers than the one in force are accepted.
                required --number number: u64
                /// Identifies this request; a resend with the same identifier gets the first answer.
                optional --request-id id: String
                /// Name that conflicts report; default is the user's name.
                optional --operator name: String
            }
            /// Prints the sheet in force.
            cmd show {}
            /// Lists the accepted sheets.
            cmd history {}
        }

        /// Takes an entry or target out of service.
        cmd drain {
            /// `entry` or `target`.
            required scope: String
            /// HOST of an entry, or DATABASE/SERVER of a target.
            required name: String
            /// Identifies this request; a resend with the same identifier gets the first answer.
            optional --request-id id: String
        }

        /// Puts a drained entry or target back in service.
        cmd undrain {
            /// `entry` or `target`.
            required scope: String
            /// HOST of an entry, or DATABASE/SERVER of a target.
            required name: String
            /// Identifies this request; a resend with the same identifier gets the first answer.
            optional --request-id id: String
        }

        /// Shows which server would become the primary of a database. Only --dry-run is supported;
        /// `drain target` on the primary orders a planned change.
        cmd promote {
            required --dry-run
            required database: String
        }

        /// Changes the set of control replicas.
        cmd control {
            /// Adds a running replica.
            cmd add {
                required host: String
                /// IP address and port of its tonic listener.
                required address: String
            }
            /// Removes a replica.
            cmd remove {
                required host: String
            }
        }

        /// Merges the events of several processes by their stamps.
        cmd timeline {
            /// Age such as 30s, 10m, 2h or 1d, or milliseconds since the epoch.
            required --since age: String
            /// Shows only events of this database.
            optional --database name: String
            /// HTTP address of a process, IP and port; may be given several times. Default 127.0.0.1:7401.
            repeated --admin address: String
        }
    }
}
