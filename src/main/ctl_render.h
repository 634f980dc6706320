// Answers of the administration API as text for people.
#ifndef LYNXGLADE_MAIN_CTL_RENDER_H_
#define LYNXGLADE_MAIN_CTL_RENDER_H_

#include <string>

#include <nlohmann/json.hpp>

namespace lynxglade::ctl {

// Each takes the answer's body; members that are missing show as "-".
std::string RenderPlan(const nlohmann::json& body);
std::string RenderPlans(const nlohmann::json& body);
std::string RenderConfirmed(const nlohmann::json& body);
std::string RenderConfig(const nlohmann::json& body);
std::string RenderStatus(const nlohmann::json& body);
std::string RenderContracts(const nlohmann::json& body);
std::string RenderAudit(const nlohmann::json& body);
std::string RenderFleet(const nlohmann::json& body);
std::string RenderInstances(const nlohmann::json& body);
std::string RenderQuarantine(const nlohmann::json& body);
std::string RenderCheck(const nlohmann::json& body);
// Any object: one line a member.
std::string RenderObject(const nlohmann::json& body);

// {"error":...}, and what changed since in a conflict.
std::string RenderError(int status, const nlohmann::json& body);

}  // namespace lynxglade::ctl

#endif  // LYNXGLADE_MAIN_CTL_RENDER_H_
