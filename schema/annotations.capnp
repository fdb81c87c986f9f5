@0xb3d1c6a94e0f7a11;
# Annotations of the programs' settings.

annotation unit @0xb0f1a65c3d2e4701 (field) :Text;
annotation help @0xb0f1a65c3d2e4702 (field) :Text;
annotation minimum @0xb0f1a65c3d2e4703 (field) :Float64;
annotation maximum @0xb0f1a65c3d2e4704 (field) :Float64;
annotation program @0xb0f1a65c3d2e4705 (struct) :Text;
# Marks a struct as the settings of the named program.
