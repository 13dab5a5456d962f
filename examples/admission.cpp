#include <iostream>

#include "plantainswitch/plantainswitch.h"

/// Admits a caller by the catalogue and shows that merging an older version never reverts an edit.
int main()
{
    using namespace plantainswitch;
    Service service;
    service.owner = "lowther";
    service.dataClass = "papers";
    Workspace workspace;
    workspace.owner = "lowther";
    workspace.dataClass = "papers";
    workspace.token = "secret";
    workspace.services = {"model"};

    CatalogueTable catalogue;
    const EntryKey papers{EntryKind::DataClass, "papers"};
    catalogue.merge({{papers, 1, DataClass{"lowther", {"hall-a", "hall-b"}, 0}},
                     {{EntryKind::Service, "model"}, 2, service},
                     {{EntryKind::Workspace, "council"}, 3, workspace}});
    catalogue.merge({{papers, 4, DataClass{"lowther", {"hall-a"}, 0}}});
    const std::size_t merged =
        catalogue.merge({{papers, 1, DataClass{"lowther", {"hall-a", "hall-b"}, 0}}});
    std::cout << "entries merged from an outdated list: " << merged << "\n";

    Reason reason;
    const auto admission = admit(*catalogue.view(), "secret", "model", Duration{0}, reason);
    if (!admission) {
        std::cout << "refused: " << errorRow(reason.kind).message << "\n";
        return 1;
    }
    std::cout << admission->workspace << " may be served in";
    for (const std::string &place : admission->dataCentres) {
        std::cout << " " << place;
    }
    std::cout << "\n";
    return 0;
}
