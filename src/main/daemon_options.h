// What the settings ask of each of the daemon's parts.
#ifndef LYNXGLADE_MAIN_DAEMON_OPTIONS_H_
#define LYNXGLADE_MAIN_DAEMON_OPTIONS_H_

#include <memory>
#include <vector>

#include "connection/http_server.h"
#include "connection/tls_material.h"
#include "process/instance_row.h"
#include "process/serving_plane.h"
#include "process/settings.h"
#include "process/view_service.h"
#include "version/configuration_plane.h"

namespace lynxglade {

connection::HttpServerOptions CallerServerOptions(
    const process::Settings& settings);
connection::HttpServerOptions AdminServerOptions(
    const process::Settings& settings);
// Null without --tls-certificate; nothing is read yet.
std::unique_ptr<connection::TlsMaterial> TlsMaterialOf(
    const process::Settings& settings);
process::ServingOptions ServingOptionsOf(const process::Settings& settings);
process::ViewServiceOptions ViewOptionsOf(const process::Settings& settings);
// --seed-peers as rows that say only where to look: the greeting tells who is
// there, and membership then drops the made-up id.
std::vector<process::InstanceRow> SeedRows(const process::Settings& settings);
version::ConfigurationPlaneOptions ConfigurationOptionsOf(
    const process::Settings& settings);

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_DAEMON_OPTIONS_H_
